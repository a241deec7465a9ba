package budgeter

import "time"

const (
	// windowSteps is the number of steps that a window is divided into.
	windowSteps = 20
	// ringSteps is the number of steps that are kept. It covers the oldest
	// window that a retry falls into and the window before that one.
	ringSteps = 3 * windowSteps
)

// Window is a retry budget: it bounds the retries to one service in every sliding
// window of a fixed length to a share of the requests plus a slack. Each gate in
// front of a backend server of the service has one, with its part of the slack.
// The gates see every request that reaches a backend server, so the bound holds
// for the service without communication between the nodes. A Window is not safe
// for concurrent use. Time must not go backwards from call to call.
type Window struct {
	share, slack float64
	step         time.Duration
	// current is the number of the current step, counted from time 0.
	current int64
	// firsts and retries are ring buffers with the counts of the last ringSteps
	// steps.
	firsts, retries [ringSteps]int
}

// NewWindow returns a window without history.
func NewWindow(share, slack float64, length time.Duration) *Window {
	return &Window{share: share, slack: slack, step: max(length/windowSteps, time.Millisecond)}
}

// SetBound changes share and slack and keeps the history.
func (w *Window) SetBound(share, slack float64) { w.share, w.slack = share, slack }

// CountFirst counts the first attempt of a request.
func (w *Window) CountFirst(now time.Duration) {
	w.advance(now)
	w.firsts[w.index(0)]++
}

// CountRetry counts a retry that is sent regardless of the bound.
func (w *Window) CountRetry(now time.Duration) {
	w.advance(now)
	w.retries[w.index(0)]++
}

// TryRetry counts a retry and returns true if the bound allows it. Otherwise it
// returns false. The share reserve of the allowed retries is kept for more
// important ones.
func (w *Window) TryRetry(now time.Duration, reserve float64) bool {
	w.advance(now)
	// Every window that the retry falls into is checked. One more step is
	// included, since a window can begin in the middle of a step.
	used := 0
	for back := range windowSteps + 1 {
		used += w.retries[w.index(back)]
		if float64(used+1) > (w.share*float64(w.requests(back))+w.slack)*(1-reserve) {
			return false
		}
	}
	w.retries[w.index(0)]++
	return true
}

// requests returns the number of requests that bounds the retries of the window
// that began back steps ago: the maximum over that window, the one half a window
// earlier and the window before it. The first and the last step of a window can
// lie partly outside it, so one step is left out.
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

// index returns the ring buffer index of the step that was back steps ago.
func (w *Window) index(back int) int64 {
	return (w.current - int64(back) + ringSteps) % ringSteps
}

func (w *Window) advance(now time.Duration) {
	to := int64(now / w.step)
	for range min(to-w.current, ringSteps) {
		w.current++
		w.firsts[w.index(0)] = 0
		w.retries[w.index(0)] = 0
	}
	w.current = max(w.current, to)
}
