package budgeter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retries beyond the bound in any sliding window, for any order of
// requests. The bound follows the largest number of requests in the window, in
// the one half a window earlier and in the one before it.
func TestWindowBoundsEverySlidingWindow(t *testing.T) {
	const share, slack, length = 0.2, 5.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(share, slack, length)
		var firsts, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "later")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				w.CountFirst(now)
				firsts = append(firsts, now)
			} else if w.TryRetry(now, 0) {
				retries = append(retries, now)
			}
		}
		count := func(at []time.Duration, from time.Duration) int {
			n := 0
			for _, x := range at {
				if x >= from && x < from+length {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			most := max(count(firsts, from), count(firsts, from-length/2), count(firsts, from-length))
			if n := count(retries, from); float64(n) > share*float64(most)+slack {
				t.Fatalf("%d retries in the window from %v with %d requests", n, from, most)
			}
		}
	})
}

// Guards against retries with a reserve that leave none for those without one.
func TestWindowReserve(t *testing.T) {
	w := NewWindow(0.2, 0, 10*time.Second)
	for range 1000 {
		w.CountFirst(5 * time.Second)
	}
	low, all := 0, 0
	for w.TryRetry(6*time.Second, 0.85) {
		low++
	}
	for all = low; w.TryRetry(6*time.Second, 0); {
		all++
	}
	if low == 0 || low > 30 || all != 200 {
		t.Errorf("%d retries with a reserve, %d in all, want 1 to 30, and 200", low, all)
	}
}

// Guards against a bound that ignores the load before an outage: retries are
// needed when there are few first attempts.
func TestWindowFollowsEarlierLoad(t *testing.T) {
	w := NewWindow(0.2, 0, 10*time.Second)
	for i := range 100 {
		w.CountFirst(time.Duration(i) * 100 * time.Millisecond)
	}
	if !w.TryRetry(15*time.Second, 0) {
		t.Error("no retry half a window after the requests ended")
	}
	if w.TryRetry(45*time.Second, 0) {
		t.Error("a retry long after the requests ended")
	}
}
