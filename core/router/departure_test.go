package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDepartingGetsNothingAgain guards against requests to a backend server that
// has stated that it leaves: not as a last resort, not after the time for which a
// leaving node is avoided, and not after a list that still holds it. A later run
// of the same instance is used again.
func TestDepartingGetsNothingAgain(t *testing.T) {
	r := newTwoUpstreamRouter(Config{LastResort: true, LeavingTime: 8 * time.Second})
	list := func(startMillis int64) []Upstream {
		return []Upstream{
			{Service: "s", Address: "a", Domain: "d", Region: "r", Instance: "i-a", StartMillis: startMillis},
			{Service: "s", Address: "b", Domain: "d", Region: "r", Instance: "i-b", StartMillis: 5},
		}
	}
	r.SetUpstreams(0, "s", list(5))
	r.MarkDeparting(time.Second, "s", "a", "i-other")
	if got := countPicks(r, time.Second, 50); got["a"] == 0 {
		t.Errorf("not used after the departure of another instance: %v", got)
	}
	r.MarkDeparting(time.Second, "s", "a", "i-a")
	check := func(when string, now time.Duration) {
		t.Helper()
		if d := cmp.Diff(map[string]int{"b": 50}, countPicks(r, now, 50)); d != "" {
			t.Errorf("%s: -want +got:\n%s", when, d)
		}
		if d := cmp.Diff(map[string]int{"NoUpstream": 50}, countPicks(r, now, 50, "b")); d != "" {
			t.Errorf("%s, without the other upstream: -want +got:\n%s", when, d)
		}
	}
	check("at once", time.Second)
	check("a minute later", time.Minute)
	r.SetUpstreams(time.Minute, "s", list(5))
	check("after the same list", time.Minute)
	r.SetUpstreams(time.Minute, "s", list(5)[1:])
	r.SetUpstreams(2*time.Minute, "s", list(5))
	check("after a list without it and one with it", 2*time.Minute)
	r.ClearLeaving(2*time.Minute, "a")
	check("after a new link to its node", 2*time.Minute)
	r.SetUpstreams(3*time.Minute, "s", list(6))
	if got := countPicks(r, 4*time.Minute, 50); got["a"] == 0 {
		t.Errorf("a later run of the instance gets nothing: %v", got)
	}
}

// TestDepartureWithoutKnownStart guards against a departure that is forgotten
// when the start of the run becomes known, and against one that outlives its run.
func TestDepartureWithoutKnownStart(t *testing.T) {
	r := newTwoUpstreamRouter(Config{})
	r.MarkDeparting(time.Second, "s", "a", "i-a")
	for _, c := range []struct {
		startMillis int64
		used        bool
	}{{7, false}, {7, false}, {8, true}} {
		r.SetUpstreams(time.Second, "s", []Upstream{{Service: "s", Address: "a", Domain: "d", Region: "r", Instance: "i-a", StartMillis: c.startMillis}})
		if got := countPicks(r, time.Minute, 10)["a"] > 0; got != c.used {
			t.Errorf("start %d: used %t, want %t", c.startMillis, got, c.used)
		}
	}
}
