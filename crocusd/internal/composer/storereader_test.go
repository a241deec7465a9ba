package composer

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

// Guards against homes of limits that differ between nodes or follow an earlier run on a
// machine while its stale entry still exists, in whatever order the entries come and
// whichever run states the later start. Servers are chosen by core/arbiter.
func TestNewestByHost(t *testing.T) {
	old := connector.Member{Instance: "i-1", Service: "a", Address: "10.0.0.1:80", StartMillis: 2, Written: connector.Position{Revision: 1}}
	next := connector.Member{Instance: "i-2", Service: "b", Address: "10.0.0.1:80", StartMillis: 1, Written: connector.Position{Revision: 2}}
	other := connector.Member{Instance: "i-3", Service: "a", Address: "10.0.0.2:80", StartMillis: 1}
	want := map[string]connector.Member{"10.0.0.1": next, "10.0.0.2": other}
	for _, ms := range [][]connector.Member{{old, next, other}, {other, next, old}} {
		if d := cmp.Diff(want, newestByHost(ms)); d != "" {
			t.Errorf("-want +got:\n%s", d)
		}
	}
}

// TestWatchesOfLargeFleet guards against calls of the store that grow with the
// fleet although nothing changes, and against a wait in which a small fleet notices
// a dead connection too late.
func TestWatchesOfLargeFleet(t *testing.T) {
	const most = 30 // Watches a second that end without a change.
	for _, members := range []int{1, 16, 71, 195} {
		if rate := float64(members) / watchWait(members).Seconds(); rate > most {
			t.Errorf("%d members: %.1f watches a second, want at most %d", members, rate, most)
		}
	}
	if got := watchWait(16); got != minWatchWait {
		t.Errorf("16 members: a watch waits for %v, want %v", got, minWatchWait)
	}
	if got := watchWait(3000); got != maxWatchWait {
		t.Errorf("3,000 members: a watch waits for %v, want %v", got, maxWatchWait)
	}
}
