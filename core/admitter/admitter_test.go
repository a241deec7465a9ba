package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

// model tracks the queued and running requests and checks each decision.
type model struct {
	t        *rapid.T
	a        *Admitter
	now      time.Duration
	queued   map[uint64]entry
	inFlight []uint64
}

func (m *model) apply(ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Admit:
			e := m.queued[d.ID]
			delete(m.queued, d.ID)
			m.inFlight = append(m.inFlight, d.ID)
			if len(m.inFlight) > m.a.Load().Limit {
				m.t.Fatalf("%d in flight, limit %d", len(m.inFlight), m.a.Load().Limit)
			}
			if e.expired(m.now, m.a.cfg.QueueTime) {
				m.t.Fatalf("admitted %+v at %v, too late", e, m.now)
			}
			for _, q := range m.queued {
				if !q.expired(m.now, m.a.cfg.QueueTime) && (q.Class > e.Class || q.Class == e.Class && q.Depth > e.Depth) {
					m.t.Fatalf("admitted %+v before %+v", e, q)
				}
			}
		case Shed:
			e := m.queued[d.ID]
			delete(m.queued, d.ID)
			for _, q := range m.queued {
				if q.Class < e.Class && (d.Reason == resolver.ReasonQueueFull || d.Reason == resolver.ReasonLevelBelow) {
					m.t.Fatalf("shed %+v (%v) while %+v is queued", e, d.Reason, q)
				}
			}
		case Queue:
		}
	}
	if got := m.a.Load(); got.Queued != len(m.queued) || got.InFlight != len(m.inFlight) || got.Queued > 3 {
		m.t.Fatalf("load %+v, want %d queued (at most 3), %d in flight", got, len(m.queued), len(m.inFlight))
	}
}

// Guards against admitting above the limit, admitting or shedding in the wrong
// order of class or depth, keeping a request in the queue too long and losing a
// request.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := &model{t: t, a: New(Config{Slots: slots, QueueLength: 3, RampTime: time.Second}), queued: map[uint64]entry{}}
		var id uint64
		t.Repeat(map[string]func(*rapid.T){
			"Offer": func(t *rapid.T) {
				id++
				r := Request{
					ID:     id,
					Class:  rapid.SampledFrom([]classifier.Class{0, 1, 2, 3}).Draw(t, "class"),
					Depth:  rapid.Uint32Range(0, 8).Draw(t, "depth"),
					TreeID: rapid.Uint64().Draw(t, "tree"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					r.Deadline = m.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "left"))*time.Millisecond
				}
				m.queued[id] = entry{Request: r, arrived: m.now, startDeadline: r.Deadline}
				m.apply(m.a.Offer(m.now, r))
			},
			"Release": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip()
				}
				done := m.inFlight[0]
				m.inFlight = m.inFlight[1:]
				m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "later")) * time.Millisecond
				m.apply(m.a.Release(m.now, done, Result{Latency: 10 * time.Millisecond, Refused: rapid.IntRange(0, 9).Draw(t, "refused") == 0}))
			},
			"Cancel": func(t *rapid.T) { m.apply(m.a.Cancel(m.now, rapid.Uint64Range(1, id+1).Draw(t, "id"))) },
			"Tick": func(t *rapid.T) {
				m.now += 10 * time.Millisecond
				m.apply(m.a.Tick(m.now))
				for _, q := range m.queued {
					if q.expired(m.now, m.a.cfg.QueueTime) {
						t.Fatalf("%+v still queued at %v", q, m.now)
					}
				}
			},
		})
	})
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// Guards against shedding requests of the highest class at 3 × capacity (P2) and
// against idle slots, also when requests of lower classes hold their slots for
// seconds.
func TestTopClassKept(t *testing.T) {
	for _, c := range []struct {
		slots           int
		top, rest, slow float64 // Offered load by stream, as a multiple of capacity.
	}{{20, 0.6, 2.4, 0}, {20, 0.5, 0.5, 2}, {35, 0.75, 0.5, 1.75}, {160, 0.85, 2.15, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			const fast, slow, warmUp, end = 20 * time.Millisecond, 2 * time.Second, 4 * time.Second, 16 * time.Second
			s := &sim{a: New(Config{Slots: c.slots}), rng: rand.New(rand.NewPCG(1, 2))}
			s.serve = func(_ time.Duration, kind string, _ int, rng *rand.Rand) (time.Duration, bool) {
				if kind == "slow" {
					return slow, true
				}
				return exponential(rng, fast), true
			}
			rate := float64(c.slots) / fast.Seconds()
			top := &stream{class: classifier.ClassCritical, kind: "top", rate: rate * c.top}
			standard := &stream{class: classifier.ClassStandard, kind: "standard", rate: rate * c.rest / 2}
			bulk := &stream{kind: "bulk", rate: rate * c.rest / 2}
			slowBulk := &stream{kind: "slow", rate: float64(c.slots) / slow.Seconds() * c.slow}
			s.run(warmUp, end, []*stream{top, standard, bulk, slowBulk}, func(time.Duration) {})
			kept := float64(top.good) / float64(top.offered)
			used := (float64(top.good+standard.good+bulk.good)/rate + float64(slowBulk.good)*slow.Seconds()/float64(c.slots)) / (end - warmUp).Seconds()
			t.Logf("top class kept %.4f, capacity used %.3f", kept, used)
			if kept < 0.99 || used < 0.9 {
				t.Errorf("top class kept %.4f, want >= 0.99; capacity used %.3f, want >= 0.9", kept, used)
			}
		})
	}
}

// Guards against a limit that ignores an overloaded backend server, that
// doesn't recover within 3 s, or that falls for reasons other than concurrency.
func TestLimitFollowsBackend(t *testing.T) {
	const from, to, end = 5 * time.Second, 10 * time.Second, 14 * time.Second
	for name, c := range map[string]struct {
		during     backend // Replaces the normal latency in [from, to).
		cancel     float64
		mayDip     bool // The limit may fall temporarily.
		atLeast    int  // Bounds of the mean limit from 8 s to 10 s.
		atMost     int
		maxRefused int // From 6 s on.
	}{
		"processor shared by 16": {
			during: func(_ time.Duration, _ string, n int, rng *rand.Rand) (time.Duration, bool) {
				return time.Duration(float64(10*time.Millisecond+exponential(rng, 10*time.Millisecond)) * max(1, float64(n)/16)), true
			},
			mayDip: true, atLeast: 16, atMost: 80,
		},
		"latency x 5 permanently": {
			during: func(_ time.Duration, _ string, _ int, rng *rand.Rand) (time.Duration, bool) {
				return exponential(rng, 100*time.Millisecond), true
			},
			mayDip: true, atLeast: 140, atMost: 160,
		},
		"30% of one kind slow": {
			during: func(_ time.Duration, _ string, _ int, rng *rand.Rand) (time.Duration, bool) {
				if rng.IntN(10) < 3 {
					return 400 * time.Millisecond, true
				}
				return exponential(rng, 20*time.Millisecond), true
			},
			atLeast: 160, atMost: 160,
		},
		"slow, all cancelled": {
			during: func(time.Duration, string, int, *rand.Rand) (time.Duration, bool) { return time.Second, true },
			cancel: 1, atLeast: 160, atMost: 160,
		},
		"only 40 slots": {
			during: func(_ time.Duration, _ string, n int, rng *rand.Rand) (time.Duration, bool) {
				if n > 40 {
					return time.Millisecond, false
				}
				return exponential(rng, 20*time.Millisecond), true
			},
			mayDip: true, atLeast: 36, atMost: 42, maxRefused: 100,
		},
		"refuses all": {
			during: func(time.Duration, string, int, *rand.Rand) (time.Duration, bool) { return time.Millisecond, false },
			mayDip: true, atLeast: 1, atMost: 2, maxRefused: 4000,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sim{a: New(Config{Slots: 160}), rng: rand.New(rand.NewPCG(1, 2))}
			st := &stream{class: classifier.ClassStandard, rate: 3 * 160 / 0.02}
			s.serve = func(now time.Duration, kind string, n int, rng *rand.Rand) (time.Duration, bool) {
				if now >= from && now < to {
					st.cancel = c.cancel
					return c.during(now, kind, n, rng)
				}
				st.cancel = 0
				return exponential(rng, 20*time.Millisecond), true
			}
			sum, count, lowest, recovered := 0, 0, 160, time.Duration(0)
			s.run(from+time.Second, end, []*stream{st}, func(now time.Duration) {
				limit := s.a.Load().Limit
				if now == 300*time.Millisecond && limit > 16 {
					t.Errorf("limit %d after 300 ms of the ramp, want <= 16", limit)
				}
				if now >= from && now < to {
					lowest = min(lowest, limit)
				}
				if now >= 8*time.Second && now < to {
					sum += limit
					count++
				}
				if now >= to && recovered == 0 && limit >= 144 {
					recovered = now - to + 1
				}
			})
			mean := sum / count
			t.Logf("limit %d, lowest %d, %d refused, recovered after %v", mean, lowest, st.refused, recovered)
			if mean < c.atLeast || mean > c.atMost || !c.mayDip && lowest < c.atLeast {
				t.Errorf("limit %d, lowest %d, want %d to %d", mean, lowest, c.atLeast, c.atMost)
			}
			if st.refused > c.maxRefused {
				t.Errorf("%d refused, want <= %d", st.refused, c.maxRefused)
			}
			if recovered == 0 || recovered > 3*time.Second {
				t.Errorf("limit recovered after %v (0 is never), want <= 3s", recovered)
			}
		})
	}
}

// Guards against raising the level into a higher class than the one that queues,
// and against shedding by level while a slot is free.
func TestLevelBounds(t *testing.T) {
	a := New(Config{Slots: 4, RampTime: -1})
	a.levelController.offered[0], a.levelController.offered[400] = 1, 1000
	a.levelController.rise(levelsPerClass - 1)
	if got := a.Load().Level; got != levelsPerClass-1 {
		t.Errorf("level %d for a queue of bulk requests, want %d", got, levelsPerClass-1)
	}
	a.levelController.level = numLevels - 1
	if ds := a.Offer(0, Request{ID: 1}); fmt.Sprint(ds) != "[{1}]" || a.Load().InFlight != 1 {
		t.Errorf("decisions %v for a free slot, want an Admit", ds)
	}
}

// Guards against a level that refuses requests at or above it, that never falls
// when reports stop, or that falls while it is reported regularly.
func TestLevels(t *testing.T) {
	l := NewLevels()
	p := Priority(classifier.ClassBrowse, 7)
	if p < 128 || p > 255 || p != Priority(classifier.ClassBrowse, 7) {
		t.Fatalf("priority %d of a browse request, want a fixed value in 128 to 255", p)
	}
	now := time.Duration(0)
	allows := func(at time.Duration, kind string, priority uint32) bool {
		return priority >= l.Effective(at, "archiwum", kind)
	}
	for range 100 {
		l.Observe(now, "archiwum", "list", p+1)
		now += levelHold
		if allows(now, "list", p) {
			t.Fatalf("a request below the level passed at %v, with a report every %v", now, levelHold)
		}
	}
	if !allows(now, "list", p+1) || !allows(now, "get", 0) {
		t.Error("a request at the level or of another kind was refused")
	}
	// In 10 ms at 256 levels a second the level falls by 2, so the request
	// passes 10 ms after levelHold and one that is 2 lower doesn't.
	if !allows(now+10*time.Millisecond, "list", p) || allows(now+10*time.Millisecond, "list", p-2) {
		t.Errorf("level %d 10 ms after levelHold, want %d", l.Effective(now+10*time.Millisecond, "archiwum", "list"), p-1)
	}
	if got := l.Effective(now+levelLifetime, "archiwum", "list"); got != 0 {
		t.Errorf("level %d after its lifetime, want 0", got)
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	b.ReportAllocs()
	a := New(Config{Slots: 160, RampTime: -1})
	var id uint64
	for b.Loop() {
		id++
		a.Offer(0, Request{ID: id, Class: classifier.ClassStandard, Kind: "list", TreeID: id})
		if id > 100 {
			a.Release(0, id-100, Result{Latency: time.Millisecond})
		}
	}
}

// BenchmarkOverload runs with a full queue: each round queues one request, sheds
// one and admits one.
func BenchmarkOverload(b *testing.B) {
	b.ReportAllocs()
	a := New(Config{Slots: 160, RampTime: -1})
	var id uint64
	var inFlight []uint64
	follow := func(ds []Decision) {
		for _, d := range ds {
			if d, ok := d.(Admit); ok {
				inFlight = append(inFlight, d.ID)
			}
		}
	}
	for b.Loop() {
		for range 2 {
			id++
			follow(a.Offer(0, Request{ID: id, Class: classifier.Class(id % 4), Depth: uint32(id % 7), TreeID: id}))
		}
		follow(a.Release(0, inFlight[0], Result{Latency: time.Millisecond}))
		inFlight = inFlight[1:]
	}
}
