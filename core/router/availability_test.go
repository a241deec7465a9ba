package router

import (
	"testing"
	"time"

	"crocustack/core/resolver"
)

// countPicks calls Pick n times and counts the results by address, or by reason
// when no upstream was chosen.
func countPicks(r *Router, now time.Duration, n int, exclude ...string) map[string]int {
	got := make(map[string]int)
	for i := range uint64(n) {
		switch d := r.Pick(now, "s", exclude, i*0x9e3779b97f4a7c15).(type) {
		case Chosen:
			got[d.Upstream.Address]++
		case None:
			got[d.Reason.String()]++
		}
	}
	return got
}

func newTwoUpstreamRouter(cfg Config) *Router {
	r := New(cfg, "d", "r", 1)
	r.SetUpstreams(0, "s", []Upstream{
		{Service: "s", Address: "a", Domain: "d", Region: "r", Instance: "i-a"},
		{Service: "s", Address: "b", Domain: "d", Region: "r", Instance: "i-b"},
	})
	return r
}

// TestUnreachableAvoided guards against requests that each wait for a
// connection to a node that was killed and whose address nothing listens on,
// and against an upstream that is never tried again after failed connections.
func TestUnreachableAvoided(t *testing.T) {
	r := newTwoUpstreamRouter(Config{})
	r.MarkUnreachable(time.Second, "a")
	if got := countPicks(r, time.Second, 50); got["a"] != 0 {
		t.Errorf("chosen right after the failure: %v", got)
	}
	if got := countPicks(r, time.Second, 50, "b"); got["a"] != 50 {
		t.Errorf("not chosen as the only upstream left: %v", got)
	}
	if got := countPicks(r, time.Second+minConnectBackoff, 50); got["a"] == 0 {
		t.Errorf("not tried again after %v: %v", minConnectBackoff, got)
	}
	r.MarkUnreachable(2*time.Second, "a")
	if got := countPicks(r, 2*time.Second+minConnectBackoff, 50); got["a"] != 0 {
		t.Errorf("tried again too soon after the second failure: %v", got)
	}
	r.Start(3*time.Second, "s", "a")
	r.Finish(3*time.Second, "s", "a", Result{Latency: time.Millisecond})
	r.MarkUnreachable(4*time.Second, "a")
	if got := countPicks(r, 4*time.Second+minConnectBackoff, 50); got["a"] == 0 {
		t.Errorf("an answer did not reset the connection backoff: %v", got)
	}
}

// TestLastResort guards against requests that are refused although leaving
// nodes still accept them. This happens in a rolling restart in which all nodes
// of a service are leaving before the first one is back.
func TestLastResort(t *testing.T) {
	r := newTwoUpstreamRouter(Config{LastResort: true})
	r.MarkLeaving(time.Second, "a")
	if got := countPicks(r, time.Second, 50); got["a"] != 0 || got["b"] != 50 {
		t.Errorf("a leaving upstream is chosen although another one is available: %v", got)
	}
	r.MarkLeaving(time.Second, "b")
	if got := countPicks(r, time.Second, 50); got["a"]+got["b"] != 50 {
		t.Errorf("no upstream although leaving ones may be used as a last resort: %v", got)
	}
	strict := newTwoUpstreamRouter(Config{})
	strict.MarkLeaving(time.Second, "a")
	strict.MarkLeaving(time.Second, "b")
	if got := countPicks(strict, time.Second, 5); got[resolver.ReasonNoUpstream.String()] != 5 {
		t.Errorf("leaving upstreams are chosen without LastResort: %v", got)
	}
}

// TestSlowStartFollowsInstance guards against a slow start for a warm backend
// server of which only the node restarted, and against full load for a new
// instance at the same address.
func TestSlowStartFollowsInstance(t *testing.T) {
	r := newTwoUpstreamRouter(Config{SlowStart: 3 * time.Second})
	r.MarkLeaving(10*time.Second, "a")
	r.ClearLeaving(11*time.Second, "a")
	if w := r.services["s"].byAddress["a"].weight(11*time.Second, 3*time.Second); w != 1 {
		t.Errorf("weight %v after the node restarted, want 1", w)
	}
	for range 20 {
		r.Start(12*time.Second, "s", "a")
		r.Finish(12*time.Second, "s", "a", Result{Failed: true})
	}
	r.SetUpstreams(12*time.Second, "s", []Upstream{{Service: "s", Address: "a", Domain: "d", Region: "r", Instance: "i-new"}})
	if f := r.services["s"].byAddress["a"].failures.value; f != 0 {
		t.Errorf("failure ratio %v of a new instance, want 0 instead of that of the old one", f)
	}
	if w := r.services["s"].byAddress["a"].weight(12*time.Second, 3*time.Second); w != minSlowStartWeight {
		t.Errorf("weight %v of a new instance, want %v", w, minSlowStartWeight)
	}
}
