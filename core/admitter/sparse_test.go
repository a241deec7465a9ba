package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"crocustack/core/classifier"
)

// sparseEntries are entry nodes that each begin few trees and learn the
// level of one gate from the answers to their own trees, and from notices
// that the gate sends at an interval.
type sparseEntries struct {
	levels []*Levels
	// noticeInterval is the interval between two notices; 0 for none.
	noticeInterval time.Duration
	nextNotice     time.Duration
	lastNotice     uint32
}

const (
	sparseService = "deep"
	sparseKind    = "call"
	// answerDelay is the time from a gate's report to an entry node.
	answerDelay = 50 * time.Millisecond
)

// of returns the levels of the entry node at which a tree begins.
func (e *sparseEntries) of(treeID uint64) *Levels { return e.levels[treeID%uint64(len(e.levels))] }

// notify sends a notice if one is due.
func (e *sparseEntries) notify(now time.Duration, level uint32) {
	if e.noticeInterval == 0 || now < e.nextNotice {
		return
	}
	e.nextNotice = now + e.noticeInterval
	if level > 0 || e.lastNotice > 0 {
		for _, l := range e.levels {
			l.Observe(now+answerDelay, sparseService, sparseKind, level)
		}
	}
	e.lastNotice = level
}

// TestManyEntryNodesWithFewRequestsEach guards against trees that begin and then
// fail because each of hundreds of entry nodes sees too few answers to know the
// current level: the level that it learned has fallen again by its next request.
func TestManyEntryNodesWithFewRequestsEach(t *testing.T) {
	const slots, meanServiceTime, entries = 100, 60 * time.Millisecond, 800
	capacity := slots / meanServiceTime.Seconds() // Calls a second.
	top := &treeStream{class: classifier.ClassCritical, calls: 4, rate: 0.3 * capacity / 4}
	rest := &treeStream{class: classifier.ClassBrowse, calls: 4, rate: 4 * capacity / 4}
	e := &sparseEntries{noticeInterval: NoticeInterval}
	for range entries {
		e.levels = append(e.levels, NewLevels())
	}
	s := &treeSim{
		a: New(Config{Slots: slots, CapacityKnown: true}), rng: rand.New(rand.NewPCG(9, 10)), meanServiceTime: meanServiceTime,
		timeout: 700 * time.Millisecond, entries: e,
		levels: map[time.Duration]uint32{}, completions: map[time.Duration][]callCompletion{}, queued: map[uint64]*tree{},
	}
	s.run(4*time.Second, 24*time.Second, []*treeStream{top, rest})
	used := float64(top.good*top.calls+rest.good*rest.calls) / 20 / capacity
	t.Logf("capacity used by completed trees: %.2f; top %+v, rest %+v", used, *top, *rest)
	if share := float64(rest.failed) / float64(rest.good+rest.failed); share > 0.05 {
		t.Errorf("%.3f of the admitted trees failed, want at most 0.05", share)
	}
	if used < 0.8 {
		t.Errorf("completed trees use %.2f of the capacity, want at least 0.8", used)
	}
	if share := float64(top.good) / float64(top.offered); share < 0.99 {
		t.Errorf("top class: %.3f of the trees completed, want at least 0.99", share)
	}
}
