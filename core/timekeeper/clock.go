package timekeeper

import "time"

// Clock counts from the start of the process, so that its values never go back
// and mean nothing to another instance.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the time since the clock was made.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// At converts a local time to the clock's scale.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) }
