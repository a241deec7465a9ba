package budgeter

import "time"

const (
	// windowSteps is the number of steps that a window is counted in.
	windowSteps = 20
	// ringSteps is the number of steps that are remembered: a window that ends
	// now, and the one before a window that ends now.
	ringSteps = 3 * windowSteps
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
	// firsts and repeats count the last ringSteps steps, in a ring.
	firsts, repeats [ringSteps]int
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
	w.firsts[w.index(0)]++
}

// Repeat counts a repeat that can't be avoided any more.
func (w *Window) Repeat(now time.Duration) {
	w.advance(now)
	w.repeats[w.index(0)]++
}

// Try counts a repeat and returns true, or returns false when less than the
// part reserve of the allowed repeats is left for more important ones.
func (w *Window) Try(now time.Duration, reserve float64) bool {
	w.advance(now)
	// Every window that the repeat falls into is checked, the oldest one a step
	// early, since windows don't begin with a step.
	used := 0
	for back := range windowSteps + 1 {
		used += w.repeats[w.index(back)]
		if float64(used+1) > (w.share*float64(w.requests(back))+w.slack)*(1-reserve) {
			return false
		}
	}
	w.repeats[w.index(0)]++
	return true
}

// requests is the number of requests that bounds the repeats of the window that
// begins so many steps ago: the most of that window, the one before and the one
// half a window before. The first and the last step of each may lie partly
// outside, so one is left out.
func (w *Window) requests(back int) int {
	most := 0
	for _, earlier := range []int{0, windowSteps / 2, windowSteps} {
		n := 0
		for i := 1; i < windowSteps; i++ {
			if at := back + earlier - i; at >= 0 && at < ringSteps {
				n += w.firsts[w.index(at)]
			}
		}
		most = max(most, n)
	}
	return most
}

// index is the place in the ring of the step so many steps ago.
func (w *Window) index(back int) int64 {
	return (w.current - int64(back) + ringSteps) % ringSteps
}

func (w *Window) advance(now time.Duration) {
	to := int64(now / w.step)
	for range min(to-w.current, ringSteps) {
		w.current++
		w.firsts[w.index(0)] = 0
		w.repeats[w.index(0)] = 0
	}
	w.current = max(w.current, to)
}
