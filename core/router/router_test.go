package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocustack/core/admitter"
	"crocustack/core/classifier"
)

func drawUpstreams(t *rapid.T) []Upstream {
	var us []Upstream
	for i := range rapid.IntRange(0, 30).Draw(t, "upstreams") {
		us = append(us, Upstream{
			Service: "archiwum",
			Address: fmt.Sprint("10.0.0.", i),
			Domain:  rapid.SampledFrom([]string{"waw-a", "krk-a", "gda-a"}).Draw(t, "domain"),
		})
	}
	return us
}

func addresses(us []Upstream) []string {
	var as []string
	for _, u := range us {
		as = append(as, u.Address)
	}
	return as
}

// TestPickAllowed guards against sending work to an excluded, leaving or
// unlisted upstream or to more upstreams than the subset has, and against
// returning None although an allowed upstream is left.
func TestPickAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{}, "waw-a", "mazowsze", rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		var us []Upstream
		leaving := map[string]time.Duration{}
		used := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"Set": func(t *rapid.T) {
				us = drawUpstreams(t)
				r.SetUpstreams(now, "archiwum", us)
				clear(used)
			},
			"Leave": func(t *rapid.T) {
				a := fmt.Sprint("10.0.0.", rapid.IntRange(0, 29).Draw(t, "leaves"))
				r.MarkLeaving(now, a)
				leaving[a] = now + time.Minute
				clear(used)
			},
			"Wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
				clear(used)
			},
			"Pick": func(t *rapid.T) {
				exclude := rapid.SliceOfN(rapid.SampledFrom(append(addresses(us), "none")), 0, 4).Draw(t, "exclude")
				allowed := func(a string) bool { return now >= leaving[a] && !slices.Contains(exclude, a) }
				d := r.Pick(now, "archiwum", exclude, rapid.Uint64().Draw(t, "draw"))
				subset := addresses(r.Subset("archiwum"))
				usable := slices.DeleteFunc(addresses(us), func(a string) bool { return now < leaving[a] })
				if len(subset) != min(8, len(usable)) {
					t.Fatalf("subset %v of %v at %v", subset, usable, now)
				}
				switch d := d.(type) {
				case None:
					if slices.ContainsFunc(subset, allowed) {
						t.Fatalf("none chosen although %v of %v are allowed", subset, us)
					}
				case Chosen:
					a := d.Upstream.Address
					if !allowed(a) || !slices.Contains(us, d.Upstream) {
						t.Fatalf("chose %v: leaving until %v at %v, excluded %v, listed %v", d.Upstream, leaving[a], now, exclude, us)
					}
					r.Start(now, "archiwum", a)
					r.Finish(now, "archiwum", a, Result{Latency: time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")})
					if used[a] = true; len(used) > 8 {
						t.Fatalf("used %v, more than the subset", used)
					}
				}
			},
		})
	})
}

// TestListChangeKeepsSubsetAndHomes guards against a list change that replaces
// more of the subset, and so closes and opens more links, than necessary, or
// that changes the home of a key whose upstream is still listed.
func TestListChangeKeepsSubsetAndHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := drawUpstreams(t)
		if len(us) < 2 {
			t.Skip()
		}
		r := New(Config{}, "waw-a", "mazowsze", 1)
		r.SetUpstreams(0, "archiwum", us)
		before, key := r.Subset("archiwum"), rapid.String().Draw(t, "key")
		home := r.Home("archiwum", key).(Chosen).Upstream
		gone := rapid.SampledFrom(us).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(us), func(u Upstream) bool { return u == gone })
		slices.Reverse(rest)
		other := New(Config{}, "krk-a", "mazowsze", 2)
		for _, r := range []*Router{r, other} {
			r.SetUpstreams(0, "archiwum", rest)
		}
		lost := 0
		for _, u := range before {
			if !slices.Contains(r.Subset("archiwum"), u) {
				lost++
			}
		}
		if lost > 1 || lost == 1 && !slices.Contains(before, gone) {
			t.Fatalf("%d of the subset lost when %v left", lost, gone)
		}
		after := r.Home("archiwum", key).(Chosen).Upstream
		if home != gone && after != home || other.Home("archiwum", key).(Chosen).Upstream != after {
			t.Fatalf("home %v became %v when %v left, %v elsewhere", home, after, gone, other.Home("archiwum", key))
		}
	})
}

// upstreamModel describes the behaviour of a simulated upstream.
type upstreamModel struct {
	domain       string
	latency      time.Duration
	slots        int // Latency grows in proportion to the requests in flight above it.
	failed       bool
	externalLoad int // Reported in-flight requests of other nodes; they do not change the latency.
	joinsAt      time.Duration
	recoversAt   time.Duration // All attempts fail until then.
}

// TestTrafficFollowsCost guards against preferring an upstream whose answers
// are fast because they are failures, against ignoring latency or reported
// load, against staying in the node's own domain at any cost or leaving it
// without need, and against sending a new upstream its full share at once.
func TestTrafficFollowsCost(t *testing.T) {
	const ms = time.Millisecond
	healthy := upstreamModel{domain: "waw-a", latency: 20 * ms, slots: 40}
	remote := upstreamModel{domain: "krk-a", latency: 23 * ms, slots: 40}
	for name, c := range map[string]struct {
		rate   int // Requests per millisecond.
		first  upstreamModel
		rest   upstreamModel
		lo, hi float64 // Share of the first upstream out of four.
	}{
		"equal":                 {4, healthy, healthy, 0.15, 0.35},
		"failing, little load":  {1, upstreamModel{domain: "waw-a", latency: ms, slots: 40, failed: true}, healthy, 0.00001, 0.01},
		"failing, full load":    {6, upstreamModel{domain: "waw-a", latency: ms, slots: 40, failed: true}, healthy, 0.00001, 0.01},
		"recovers at 10 s":      {4, upstreamModel{domain: "waw-a", latency: 20 * ms, slots: 40, recoversAt: 10 * time.Second}, healthy, 0.15, 0.35},
		"slow":                  {4, upstreamModel{domain: "waw-a", latency: 100 * ms, slots: 40}, healthy, 0, 0.1},
		"busy with other nodes": {4, upstreamModel{domain: "waw-a", latency: 20 * ms, slots: 40, externalLoad: 40}, healthy, 0.0005, 0.15},
		"local, enough":         {1, healthy, remote, 0.99, 1},
		"local, overloaded":     {6, healthy, remote, 0.25, 0.6},
		"local, failing":        {1, upstreamModel{domain: "waw-a", latency: ms, slots: 40, failed: true}, remote, 0, 0.01},
		"new":                   {4, upstreamModel{domain: "waw-a", latency: 20 * ms, slots: 40, joinsAt: 15 * time.Second}, healthy, 0.02, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			r := New(Config{}, "waw-a", "mazowsze", 1)
			models := map[string]upstreamModel{}
			var us []Upstream
			for i, m := range []upstreamModel{c.first, c.rest, c.rest, c.rest} {
				a := fmt.Sprint("10.0.0.", i)
				models[a] = m
				us = append(us, Upstream{Service: "archiwum", Address: a, Domain: m.domain})
			}
			inFlight, share, total := map[string]int{}, map[string]int{}, 0
			done := map[time.Duration][]func(){}
			for now := time.Duration(0); now < 20*time.Second; now += ms {
				for _, f := range done[now] {
					f()
				}
				delete(done, now)
				if now == 0 || now == c.first.joinsAt {
					r.SetUpstreams(now, "archiwum", slices.DeleteFunc(slices.Clone(us), func(u Upstream) bool { return models[u.Address].joinsAt > now }))
				}
				for range c.rate {
					a := r.Pick(now, "archiwum", nil, rng.Uint64()).(Chosen).Upstream.Address
					m := models[a]
					r.Start(now, "archiwum", a)
					inFlight[a]++
					if now >= 15*time.Second && now < 18*time.Second {
						share[a]++
						total++
					}
					latency := time.Duration(float64(m.latency) * max(1, float64(inFlight[a])/float64(m.slots)) * (0.5 + rng.Float64())).Truncate(ms)
					at := now + max(latency, ms)
					done[at] = append(done[at], func() {
						inFlight[a]--
						r.Finish(at, "archiwum", a, Result{Latency: latency, Failed: m.failed || at < m.recoversAt, Load: Load{InFlight: inFlight[a] + m.externalLoad, Limit: m.slots}})
					})
				}
			}
			got := float64(share["10.0.0.0"]) / float64(total)
			t.Logf("share %.4f", got)
			if got < c.lo || got > c.hi {
				t.Errorf("share %.4f, want %.4f to %.4f", got, c.lo, c.hi)
			}
		})
	}
}

func benchmarkRouter(upstreams int) *Router {
	r := New(Config{}, "waw-a", "mazowsze", 1)
	var us []Upstream
	for i := range upstreams {
		us = append(us, Upstream{Service: "archiwum", Address: fmt.Sprint("10.0.0.", i), Domain: []string{"waw-a", "krk-a"}[i%2]})
	}
	r.SetUpstreams(0, "archiwum", us)
	return r
}

// BenchmarkRouteAndAdmit measures one routing decision of an entry node and one
// admission decision of a gate, including the updates of both from the answer.
func BenchmarkRouteAndAdmit(b *testing.B) {
	b.ReportAllocs()
	r, a := benchmarkRouter(16), admitter.New(admitter.Config{Slots: 160, RampTime: -1})
	rng := rand.New(rand.NewPCG(1, 2))
	levels := admitter.NewLevels()
	now := time.Duration(0)
	for b.Loop() {
		now += 10 * time.Microsecond
		id := rng.Uint64()
		_ = admitter.Priority(classifier.ClassBrowse, id) < levels.Effective(now, "archiwum", "list")
		d := r.Pick(now, "archiwum", nil, id).(Chosen)
		r.Start(now, "archiwum", d.Upstream.Address)
		a.Offer(now, admitter.Request{ID: id, Class: classifier.ClassBrowse, Kind: "list", TreeID: id})
		a.Release(now, id, admitter.Result{Latency: time.Millisecond})
		r.Finish(now, "archiwum", d.Upstream.Address, Result{Latency: time.Millisecond, Load: Load{Limit: 160}})
	}
}
