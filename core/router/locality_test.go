package router

import (
	"testing"
	"time"
)

// TestRequestsStayInDomainWhileItHasRoom guards against requests and answers that
// cross to another domain although the own one has free capacity, because an
// upstream there is somewhat faster. A local upstream that is several times
// slower, near saturation or failing must still be left.
func TestRequestsStayInDomainWhileItHasRoom(t *testing.T) {
	const limit = 100
	for _, c := range []struct {
		name          string
		local, remote time.Duration // Latencies.
		inFlight      int           // Load that the local upstream reports.
		failed        bool
		wantLocal     bool
	}{
		{"remote twice as fast", 28 * time.Millisecond, 12 * time.Millisecond, 20, false, true},
		{"remote five times as fast", 60 * time.Millisecond, 12 * time.Millisecond, 20, false, false},
		{"local near saturation", 28 * time.Millisecond, 12 * time.Millisecond, 90, false, false},
		{"local fails", 28 * time.Millisecond, 12 * time.Millisecond, 20, true, false},
	} {
		r := New(Config{}, "d", "r", 1)
		r.SetUpstreams(0, "s", []Upstream{
			{Service: "s", Address: "near", Domain: "d", Region: "r", Instance: "i-a"},
			{Service: "s", Address: "far", Domain: "e", Region: "r", Instance: "i-b"},
		})
		for range 50 {
			r.Start(0, "s", "near")
			r.Finish(0, "s", "near", Result{Latency: c.local, Load: Load{InFlight: c.inFlight, Limit: limit}})
			r.Start(0, "s", "far")
			r.Finish(0, "s", "far", Result{Latency: c.remote, Load: Load{InFlight: 20, Limit: limit}})
		}
		if c.failed {
			for range 10 {
				r.Start(0, "s", "near")
				r.Finish(0, "s", "near", Result{Failed: true, Load: Load{InFlight: c.inFlight, Limit: limit}})
			}
		}
		got := countPicks(r, 0, 100)
		if stayed := got["near"] == 100; stayed != c.wantLocal {
			t.Errorf("%s: picks %v, want all local: %t", c.name, got, c.wantLocal)
		}
	}
}
