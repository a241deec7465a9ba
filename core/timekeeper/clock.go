package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that counts from the start of the process. Its
// values never decrease and have no meaning for another instance.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that reads zero at the time of the call.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// SinceBoot returns the time since the machine was booted, including time in
// which it was suspended, or 0 if unknown.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // The linker logs this once; callers work without the value.
	}
	return time.Duration(ts.Nano())
}

// At converts a local time to a time of the clock.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) }
