package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"crocustack/core/classifier"
)

// treeStream is a Poisson stream of trees, each of which makes sequential calls
// to the simulated service at its deepest level.
type treeStream struct {
	class classifier.Class
	calls int
	rate  float64 // Trees per second.

	offered, refused, good, failed int // Since the end of the warm-up.
}

// tree is one admitted tree.
type tree struct {
	stream       *treeStream
	id           uint64
	callsLeft    int // Calls that are not answered yet.
	appliedLevel uint32
}

// callCompletion is the completion of a call of a tree.
type callCompletion struct {
	tree    *tree
	call    uint64
	latency time.Duration
}

// treeSim is a discrete-event simulation of one gate whose senders receive its
// level with a delay.
type treeSim struct {
	a               *Admitter
	rng             *rand.Rand
	meanServiceTime time.Duration
	levelDelay      time.Duration // Time until the level reaches the senders.
	timeout         time.Duration // Time until the deadline of a call.
	levels          map[time.Duration]uint32
	completions     map[time.Duration][]callCompletion
	queued          map[uint64]*tree
	nextCall        uint64
	measuring       bool
	// otherGateShare is the share of the trees whose sender applies the level of
	// another gate of the service, which has free slots.
	otherGateShare float64
	// entries are the entry nodes; nil for one that receives every level after
	// levelDelay.
	entries *sparseEntries
	// change is called at every step; nil for none.
	change func(now time.Duration)
}

// appliedLevel returns the level that the sender of a new tree applies.
func (s *treeSim) appliedLevel(now time.Duration, treeID uint64) uint32 {
	if s.entries != nil {
		return s.entries.of(treeID).Effective(now, sparseService, sparseKind)
	}
	if s.rng.Float64() < s.otherGateShare {
		return 0
	}
	return s.levels[(now - s.levelDelay).Truncate(window)]
}

func (s *treeSim) decide(now time.Duration, ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Admit:
			latency := time.Duration((0.5 + s.rng.Float64()) * float64(s.meanServiceTime))
			at := (now + latency).Truncate(simStep) + simStep
			s.completions[at] = append(s.completions[at], callCompletion{s.queued[d.ID], d.ID, latency})
			delete(s.queued, d.ID)
		case Shed:
			t := s.queued[d.ID]
			delete(s.queued, d.ID)
			if s.measuring {
				t.stream.failed++
			}
		case Queue:
		}
	}
}

func (s *treeSim) call(now time.Duration, t *tree) {
	s.nextCall++
	s.queued[s.nextCall] = t
	s.decide(now, s.a.Offer(now, Request{
		ID: s.nextCall, Class: t.stream.class, Kind: "call", Depth: 3, TreeID: t.id, AppliedLevel: t.appliedLevel, Deadline: now + s.timeout,
	}))
}

func (s *treeSim) run(warmUp, end time.Duration, streams []*treeStream) {
	var id uint64
	for now := time.Duration(0); now < end; now += simStep {
		if now == warmUp {
			s.measuring = true
		}
		if s.change != nil {
			s.change(now)
		}
		for _, e := range s.completions[now] {
			s.decide(now, s.a.Release(now, e.call, Result{Latency: e.latency}))
			if s.entries != nil {
				s.entries.of(e.tree.id).Observe(now+answerDelay, sparseService, sparseKind, s.a.Load().Level)
			}
			if e.tree.callsLeft--; e.tree.callsLeft > 0 {
				s.call(now, e.tree)
			} else if s.measuring {
				e.tree.stream.good++
			}
		}
		delete(s.completions, now)
		for _, st := range streams {
			for range poisson(s.rng, st.rate*simStep.Seconds()) {
				id++
				if s.measuring {
					st.offered++
				}
				appliedLevel := s.appliedLevel(now, id)
				if Priority(st.class, id) < appliedLevel {
					if s.measuring {
						st.refused++
					}
					continue
				}
				s.call(now, &tree{stream: st, id: id, callsLeft: st.calls, appliedLevel: appliedLevel})
			}
		}
		if now%(10*time.Millisecond) == 0 {
			s.decide(now, s.a.Tick(now))
		}
		if s.entries != nil {
			s.entries.notify(now, s.a.Load().Level)
		}
		s.levels[now.Truncate(window)] = s.a.Load().Level
	}
}

// Guards against trees that are admitted and then fail at a later call, against
// idle slots, and against shedding the highest class before lower ones. The
// calls of all trees go to one service at 1.6 times its capacity, and the
// senders receive its level 300 ms late.
func TestTreesMeetInDeepService(t *testing.T) {
	const slots, meanServiceTime = 41, 40 * time.Millisecond
	capacity := slots / meanServiceTime.Seconds() // Calls a second.
	top := &treeStream{class: classifier.ClassCritical, calls: 5, rate: 0.3 * capacity / 5}
	rest := &treeStream{class: classifier.ClassBrowse, calls: 10, rate: 1.3 * capacity / 10}
	s := &treeSim{
		a: New(Config{Slots: slots, CapacityKnown: true}), rng: rand.New(rand.NewPCG(1, 2)), meanServiceTime: meanServiceTime,
		levelDelay: 300 * time.Millisecond, timeout: 700 * time.Millisecond,
		levels: map[time.Duration]uint32{}, completions: map[time.Duration][]callCompletion{}, queued: map[uint64]*tree{},
	}
	s.run(4*time.Second, 24*time.Second, []*treeStream{top, rest})
	used := float64(top.good*top.calls+rest.good*rest.calls) / 20 / capacity
	t.Logf("capacity used by completed trees: %.2f; top %+v, rest %+v", used, *top, *rest)
	if used < 0.8 {
		t.Errorf("completed trees use %.2f of the capacity, want at least 0.8", used)
	}
	if share := float64(top.good) / float64(top.offered); share < 0.99 {
		t.Errorf("top class: %.3f of the trees completed, want at least 0.99", share)
	}
	if share := float64(rest.failed) / float64(rest.good+rest.failed); share > 0.05 {
		t.Errorf("%.3f of the admitted trees failed, want at most 0.05", share)
	}
}

// Guards against refusals at 75% of the capacity. The adaptive limit refused 4 to
// 8% at this load.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	const slots, meanServiceTime = 25, 22 * time.Millisecond
	capacity := slots / meanServiceTime.Seconds()
	rest := &treeStream{class: classifier.ClassBrowse, calls: 4, rate: 0.75 * capacity / 4}
	s := &treeSim{
		a: New(Config{Slots: slots, CapacityKnown: true}), rng: rand.New(rand.NewPCG(3, 4)), meanServiceTime: meanServiceTime,
		levelDelay: 300 * time.Millisecond, timeout: 700 * time.Millisecond,
		levels: map[time.Duration]uint32{}, completions: map[time.Duration][]callCompletion{}, queued: map[uint64]*tree{},
	}
	s.run(2*time.Second, 12*time.Second, []*treeStream{rest})
	if lost := float64(rest.refused+rest.failed) / float64(rest.offered); lost > 0.01 {
		t.Errorf("%.3f of the trees were refused or failed, want at most 0.01: %+v", lost, *rest)
	}
}

// Guards against a level that stays high after an overload. Half of the senders
// apply the level of another gate with free slots, so more trees pass than the
// gate's own level lets pass, and a demand estimated from that level is too
// high.
func TestLevelFallsWhenSendersMixLevels(t *testing.T) {
	const slots, meanServiceTime = 25, 22 * time.Millisecond
	capacity := slots / meanServiceTime.Seconds()
	rest := &treeStream{class: classifier.ClassBrowse, calls: 4, rate: 1.5 * capacity / 4}
	s := &treeSim{
		a: New(Config{Slots: slots, CapacityKnown: true}), rng: rand.New(rand.NewPCG(5, 6)), meanServiceTime: meanServiceTime,
		levelDelay: 300 * time.Millisecond, timeout: 700 * time.Millisecond, otherGateShare: 0.5,
		levels: map[time.Duration]uint32{}, completions: map[time.Duration][]callCompletion{}, queued: map[uint64]*tree{},
	}
	s.change = func(now time.Duration) {
		if now == 4*time.Second {
			rest.rate = 0.7 * capacity / 4
		}
	}
	s.run(6*time.Second, 12*time.Second, []*treeStream{rest})
	if lost := float64(rest.refused+rest.failed) / float64(rest.offered); lost > 0.01 {
		t.Errorf("%.3f of the trees refused or failed 2 s after the overload, want at most 0.01: %+v", lost, *rest)
	}
}

// Guards against queueing requests that can't be answered before their deadline:
// they must be refused at once.
func TestUnservableRequestRefusedAtOnce(t *testing.T) {
	a := New(Config{Slots: 1, CapacityKnown: true})
	now := time.Duration(0)
	for id := range uint64(50) { // Brings the mean service time of the kind to 100 ms.
		a.Offer(now, Request{ID: id + 1, Kind: "k"})
		now += 100 * time.Millisecond
		a.Release(now, id+1, Result{Latency: 100 * time.Millisecond})
	}
	refused := 0
	for id := range uint64(10) {
		for _, d := range a.Offer(now, Request{ID: 100 + id, Kind: "k", Depth: 1, Deadline: now + 450*time.Millisecond}) {
			if _, ok := d.(Shed); ok {
				refused++
			}
		}
	}
	// One request runs, and three more can start within 350 ms.
	if refused < 5 {
		t.Errorf("%d of 10 requests refused at once, want at least 5", refused)
	}
}

// Guards against a kind that is refused permanently after a time in which the
// backend server was so slow that all its requests reached their deadlines: the
// service time measured then must not keep requests from a free slot.
func TestKindRecoversAfterSlowness(t *testing.T) {
	a := New(Config{Slots: 4, CapacityKnown: true})
	const budget = 400 * time.Millisecond
	now := time.Duration(0)
	for id := range uint64(100) {
		a.Offer(now, Request{ID: id + 1, Kind: "k", Deadline: now + budget})
		now += budget
		a.Release(now, id+1, Result{Latency: budget, Failed: true})
	}
	for _, d := range a.Offer(now, Request{ID: 1000, Kind: "k", Deadline: now + budget}) {
		if s, ok := d.(Shed); ok {
			t.Errorf("refused with %v although all slots are free", s.Reason)
		}
	}
}
