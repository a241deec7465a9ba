package detector

import (
	"sync"
	"time"
)

// latenessWindow is the length of the windows over which the minimum clock
// difference is taken. A minimum counts in its own window and in the next one:
// long enough to contain a message that was not delayed, short enough for clocks
// that drift.
const latenessWindow = 30 * time.Second

// LatenessEstimator estimates the queuing delay of the messages of one peer:
// the time in transit and in buffers above the minimum. The clocks of sender
// and receiver differ by an unknown offset, so the smallest recent difference
// stands for a message that was not delayed, as in LEDBAT (RFC 6817). It is
// safe for concurrent use. The zero value is ready to use.
type LatenessEstimator struct {
	mu sync.Mutex
	// windowMin and previousMin are the minimum differences of the current and
	// of the previous window.
	windowMin, previousMin time.Duration
	// windowStart is the start of the current window, or 0 before the first
	// message.
	windowStart time.Duration
}

// Observe records a message that was sent at time sent of the sender's clock and
// read at time now of the receiver's clock, and returns its estimated delay. Both
// clocks must keep running while their machine is suspended.
func (e *LatenessEstimator) Observe(now, sent time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	difference := now - sent
	switch {
	case e.windowStart == 0:
		e.windowStart, e.windowMin, e.previousMin = now, difference, difference
	case now-e.windowStart > latenessWindow:
		e.windowStart, e.previousMin, e.windowMin = now, e.windowMin, difference
	}
	e.windowMin = min(e.windowMin, difference)
	return difference - min(e.windowMin, e.previousMin)
}
