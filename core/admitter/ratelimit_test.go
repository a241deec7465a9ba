package admitter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

// rateSpan is the span over which the users count the requests at a backend
// server that states a rate limit.
const rateSpan = 4 * time.Second

// mostInSpan returns the requests that such a server may get in rateSpan.
func mostInSpan(perSecond float64) int { return int(1.5*perSecond*rateSpan.Seconds()) + 5 }

// passes returns the number of admitted requests among the decisions.
func passes(ds []Decision) int {
	n := 0
	for _, d := range ds {
		if _, ok := d.(Admit); ok {
			n++
		}
	}
	return n
}

// TestRateHoldsInEverySpan guards against a backend server that gets more
// requests than the rate that it states bears, for any order of bursts, waiting
// requests, resends, restatements and answers that were overtaken.
func TestRateHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0, 0.3, 2, 9.5, 60}).Draw(t, "rate")
		a := New(Config{Slots: 200, CapacityKnown: true})
		now, id := time.Second, uint64(0)
		a.ObserveRate(now, now-time.Millisecond, true, perSecond)
		var passed []time.Duration
		count := func(n int) {
			for range n {
				passed = append(passed, now)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				count(passes(a.Tick(now)))
			case 1:
				count(passes(a.ObserveRate(now, now-100*time.Millisecond, true, perSecond)))
			case 2:
				// An answer without a limit to a request that was sent before the
				// limit was stated.
				count(passes(a.ObserveRate(now, 500*time.Millisecond, false, 0)))
			case 3:
				if a.TakeResend(now) {
					count(1)
				}
			default:
				for range rapid.IntRange(1, 40).Draw(t, "burst") {
					id++
					r := Request{ID: id, TreeID: id, Kind: "k", Class: classifier.ClassStandard, LastChoice: id%3 == 0, Deadline: now + 5*time.Second}
					count(passes(a.Offer(now, r)))
				}
			}
		}
		for i, first := 0, 0; i < len(passed); i++ {
			for passed[i]-passed[first] >= rateSpan {
				first++
			}
			if got := i - first + 1; got > mostInSpan(perSecond) {
				t.Fatalf("%d requests in %s at %g a second, want at most %d", got, rateSpan, perSecond, mostInSpan(perSecond))
			}
		}
	})
}

// TestAnswerAfterStatementLiftsRate guards against a limit that stays although
// the backend server states none any more, and against one that an overtaken
// answer lifts.
func TestAnswerAfterStatementLiftsRate(t *testing.T) {
	a := New(Config{Slots: 10, CapacityKnown: true})
	got := []float64{}
	for _, s := range []struct {
		now, sent time.Duration
		limited   bool
	}{{2, 1, true}, {3, 1, false}, {4, 2, false}, {5, 3, false}} {
		a.ObserveRate(s.now*time.Second, s.sent*time.Second, s.limited, 7)
		got = append(got, a.Load().RateLimit)
	}
	if d := cmp.Diff([]float64{7, 7, 7, 0}, got); d != "" {
		t.Errorf("limit after each answer: -want +got:\n%s", d)
	}
}

// TestRestartedGateAssumesRate guards against a burst from a gate that has
// restarted and not yet seen an answer, and against a limit from peers that
// replaces what the backend server itself states.
func TestRestartedGateAssumesRate(t *testing.T) {
	a := New(Config{Slots: 100, CapacityKnown: true})
	a.AssumeRate(time.Second, 8)
	got := 0
	for i := range uint64(50) {
		got += passes(a.Offer(time.Second, Request{ID: i + 1}))
	}
	if got != 1 {
		t.Errorf("%d of 50 requests pass at once with an assumed limit, want 1", got)
	}
	a.ObserveRate(2*time.Second, 1500*time.Millisecond, false, 0)
	a.AssumeRate(2*time.Second, 8)
	if limit := a.Load().RateLimit; limit != 0 {
		t.Errorf("limit %g after an answer that states none, want 0", limit)
	}
}

// TestRefusedAtOnceWithOtherChoice guards against requests that wait at a limited
// backend server although another one may be free, and against refusing those
// that have no other choice.
func TestRefusedAtOnceWithOtherChoice(t *testing.T) {
	a := New(Config{Slots: 10, CapacityKnown: true})
	a.ObserveRate(time.Second, 0, true, 1)
	got := [][]Decision{
		a.Offer(time.Second, Request{ID: 1}),
		a.Offer(time.Second, Request{ID: 2}),
		a.Offer(time.Second, Request{ID: 3, LastChoice: true}),
		a.Tick(2 * time.Second),
	}
	want := [][]Decision{{Admit{1}}, {Shed{2, resolver.ReasonRateLimited}}, {Queue{3}}, {Admit{3}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}

// TestRateOfWholeServiceKeepsImportantTrees guards against a service all of whose
// servers state a rate below the demand, and that then serves important requests
// no more often than others or refuses none early.
func TestRateOfWholeServiceKeepsImportantTrees(t *testing.T) {
	const perSecond = 60 // Of 100 requests a second, half of which are critical.
	a := New(Config{Slots: 200, CapacityKnown: true})
	served := map[classifier.Class]int{}
	classes := map[uint64]classifier.Class{}
	var done []uint64
	apply := func(ds []Decision) {
		for _, d := range ds {
			if d, ok := d.(Admit); ok {
				served[classes[d.ID]]++
				done = append(done, d.ID)
			}
		}
	}
	id := uint64(0)
	var level uint32
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		apply(a.ObserveRate(now, now-50*time.Millisecond, true, perSecond))
		ended := done
		done = nil
		for _, id := range ended {
			apply(a.Release(now, id, Result{Latency: 100 * time.Millisecond}))
		}
		apply(a.Tick(now))
		id++
		classes[id] = classifier.ClassBrowse
		if id%2 == 0 {
			classes[id] = classifier.ClassCritical
		}
		apply(a.Offer(now, Request{ID: id, TreeID: id, Kind: "k", Class: classes[id], LastChoice: true, Deadline: now + time.Second}))
		level = max(level, a.Load().RateLevel)
		if shared := a.Load().Level; shared != 0 {
			t.Fatalf("level %d for requests that have another upstream, want 0: slots are free", shared)
		}
	}
	if important := served[classifier.ClassCritical]; important < 475 {
		t.Errorf("%d of 500 critical requests served at a rate that suffices for them, want 475", important)
	}
	if level == 0 {
		t.Error("the level stayed at 0 with more demand than the rate allows")
	}
}
