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

// Lateness estimates the queuing delay of the messages of one peer: the time in
// transit and in buffers above the minimum. The clocks of sender and receiver
// differ by an unknown offset, so the smallest recent difference stands for a
// message that was not delayed, as in LEDBAT (RFC 6817). It is safe for
// concurrent use. The zero value is ready to use.
type Lateness struct {
	mu sync.Mutex
	// least and lastLeast are the minimum differences of the current and of the
	// previous window.
	least, lastLeast time.Duration
	// began is the start of the current window, or 0 before the first message.
	began time.Duration
}

// Observe records a message that was sent at time sent of the sender's clock and
// read at time now of the receiver's clock, and returns its estimated delay. Both
// clocks must keep running while their machine is suspended.
func (l *Lateness) Observe(now, sent time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	difference := now - sent
	switch {
	case l.began == 0:
		l.began, l.least, l.lastLeast = now, difference, difference
	case now-l.began > latenessWindow:
		l.began, l.lastLeast, l.least = now, l.least, difference
	}
	l.least = min(l.least, difference)
	return difference - min(l.least, l.lastLeast)
}
