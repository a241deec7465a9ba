package detector

import (
	"sync"
	"time"
)

// latenessWindow is how long a smallest difference of clocks counts, once or
// twice: long enough to hold a message that didn't wait, short enough for
// clocks that drift.
const latenessWindow = 30 * time.Second

// Lateness estimates how much longer than usual messages of one peer were on
// their way, waiting in buffers included. The clocks of sender and receiver
// differ by an unknown offset. The smallest difference that was seen of late
// stands for a message that didn't wait, as in LEDBAT (RFC 6817). It is safe for
// concurrent use. The zero value is ready to use.
type Lateness struct {
	mu sync.Mutex
	// least holds the smallest differences of the present and of the last window.
	least, lastLeast time.Duration
	// began is when the present window began, or 0 before the first message.
	began time.Duration
}

// Observe takes a message that was sent at the sender's time and read at the
// receiver's time now, and returns how late it is. Both clocks must go on while
// a machine is suspended.
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
