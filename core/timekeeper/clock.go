package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from the start of the process, so that its values never go back
// and mean nothing to another instance.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the time since the clock was made.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// SinceBoot is the time since the machine started, with the times in which it was
// suspended, or 0 when it isn't known.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // The linker logs it once, and its users do without.
	}
	return time.Duration(ts.Nano())
}

// At converts a local time to the clock's scale.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) }
