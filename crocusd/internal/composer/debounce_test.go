package composer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// When many members start or are replaced one after the other, each node
// watches all of them. Guards against one call per node for every change, and
// against detecting a single change late.
func TestDebounceFollowsChanges(t *testing.T) {
	var g debouncer
	var got []time.Duration
	for _, waited := range []time.Duration{time.Second, 0, time.Millisecond, 0, 0, 2 * time.Second, 10 * time.Millisecond} {
		got = append(got, g.next(waited))
	}
	ms := time.Millisecond
	if d := cmp.Diff([]time.Duration{300 * ms, 600 * ms, 800 * ms, 800 * ms, 800 * ms, 300 * ms, 600 * ms}, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	// Four changes a second for a minute.
	calls, now := 0, time.Duration(0)
	for change := 100 * ms; now < time.Minute; {
		calls++
		waited := max(change-now, 0)
		now += waited
		now += g.next(waited)
		for change <= now {
			change += 250 * ms
		}
	}
	if calls > 90 {
		t.Errorf("%d calls per node in a minute with 240 changes, want at most 90", calls)
	}
}
