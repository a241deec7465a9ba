package budgeter

import "time"

const (
	// windowSteps is the number of steps that a window is counted in.
	windowSteps = 20
	// windowMargin is the part of the allowed repeats that is used: the edges of
	// the steps and the clocks of the nodes don't coincide.
	windowMargin = 0.85
)

// Window bounds the repeats of requests to one service in every sliding window
// of a fixed length: to a share of the requests plus a slack. The gates before
// the backend servers of a service each keep one with their part of the slack,
// and see every request that reaches a backend server, so that the bound holds
// for the service without the nodes talking to each other. It is not safe for
// concurrent use. Time must not go backwards from call to call.
type Window struct {
	share, slack float64
	step         time.Duration
	// current is the number of the present step since time 0.
	current int64
	// firsts and repeats count the last 2 × windowSteps steps, in a ring.
	firsts, repeats [2 * windowSteps]int
}

// NewWindow returns a window without history.
func NewWindow(share, slack float64, length time.Duration) *Window {
	return &Window{share: share, slack: slack, step: max(length/windowSteps, time.Millisecond)}
}

// SetBound changes share and slack and keeps the history.
func (w *Window) SetBound(share, slack float64) { w.share, w.slack = share, slack }

// First counts the first try of a request.
func (w *Window) First(now time.Duration) {
	w.advance(now)
	w.firsts[w.current%int64(len(w.firsts))]++
}

// Repeat counts a repeat that can't be avoided any more.
func (w *Window) Repeat(now time.Duration) {
	w.advance(now)
	w.repeats[w.current%int64(len(w.repeats))]++
}

// Try counts a repeat and returns true, or returns false when less than the
// part reserve of the allowed repeats is left for more important ones.
func (w *Window) Try(now time.Duration, reserve float64) bool {
	w.advance(now)
	used := sum(w.repeats[:], w.current, 0)
	if float64(used+1) > w.allowed()*(1-reserve) {
		return false
	}
	w.repeats[w.current%int64(len(w.repeats))]++
	return true
}

// allowed is the number of repeats that the window may hold. It follows the
// most requests of this window, the one before and the one half a window before.
func (w *Window) allowed() float64 {
	most := max(
		sum(w.firsts[:], w.current, 0),
		sum(w.firsts[:], w.current, windowSteps/2),
		sum(w.firsts[:], w.current, windowSteps),
	)
	return windowMargin * (w.share*float64(most) + w.slack)
}

// sum adds up the windowSteps steps that end offset steps ago.
func sum(ring []int, current int64, offset int) int {
	total := 0
	for i := range windowSteps {
		n := current - int64(offset+i)
		if n < 0 {
			break
		}
		total += ring[n%int64(len(ring))]
	}
	return total
}

func (w *Window) advance(now time.Duration) {
	to := int64(now / w.step)
	for range min(to-w.current, int64(len(w.firsts))) {
		w.current++
		w.firsts[w.current%int64(len(w.firsts))] = 0
		w.repeats[w.current%int64(len(w.repeats))] = 0
	}
	w.current = max(w.current, to)
}
