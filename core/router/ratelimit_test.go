package router

import (
	"testing"
	"time"
)

// TestRateLimitedUpstreamGetsLess guards against requests that keep going to an
// upstream whose backend server states a rate limit that is used up, while
// another one is free, and against one that stays avoided after the limit is
// lifted.
func TestRateLimitedUpstreamGetsLess(t *testing.T) {
	r := New(Config{}, "a", "r", 1)
	now := time.Minute
	r.SetUpstreams(now, "s", []Upstream{{Service: "s", Address: "limited", Domain: "a", Region: "r"}, {Service: "s", Address: "free", Domain: "a", Region: "r"}})
	answer := func(address string, res Result) {
		res.Latency = 50 * time.Millisecond
		res.Load.Limit = 100
		r.Start(now, "s", address)
		r.Finish(now, "s", address, res)
	}
	share := func() float64 {
		n := 0
		for i := range uint64(1000) {
			if c, ok := r.Pick(now, "s", nil, i*0x9e3779b97f4a7c15).(Chosen); ok && c.Upstream.Address == "limited" {
				n++
			}
		}
		return float64(n) / 1000
	}
	answer("free", Result{})
	answer("limited", Result{Load: Load{RateLimit: 5, RateLoad: 2}})
	for range 100 {
		answer("limited", Result{Refused: true, RateLimited: true, Load: Load{RateLimit: 5, RateLoad: 2}})
	}
	if got := share(); got > 0.1 {
		t.Errorf("%.0f%% of the requests go to the upstream at twice its rate limit, want at most 10%%", 100*got)
	}
	if got := r.RateLimit(now, "s", "limited"); got != 5 {
		t.Errorf("known rate limit %g, want 5", got)
	}
	answer("limited", Result{})
	if got := share(); got < 0.4 {
		t.Errorf("%.0f%% of the requests go to the upstream after its limit was lifted, want at least 40%%: refusals for a rate are no failures", 100*got)
	}
	answer("limited", Result{Load: Load{RateLimit: 5, RateLoad: 1}})
	if got := r.RateLimit(now+rateLimitLifetime+1, "s", "limited"); got != 0 {
		t.Errorf("known rate limit %g after %s without a report, want 0", got, rateLimitLifetime)
	}
}

// TestHasAlternative guards against a request that waits at a limited upstream as if it
// were the last choice, or is refused there although it is.
func TestHasAlternative(t *testing.T) {
	r := New(Config{}, "a", "r", 1)
	r.SetUpstreams(0, "s", []Upstream{{Service: "s", Address: "x", Domain: "a"}, {Service: "s", Address: "y", Domain: "b"}})
	if !r.HasAlternative(0, "s", "x", nil) {
		t.Error("no other upstream than x, want y")
	}
	if r.HasAlternative(0, "s", "x", []string{"y"}) {
		t.Error("another upstream than x although y is excluded")
	}
	r.MarkUnreachable(0, "y")
	if r.HasAlternative(0, "s", "x", nil) {
		t.Error("another upstream than x although y can't be reached")
	}
}
