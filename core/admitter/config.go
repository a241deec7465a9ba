package admitter

import "time"

// Config holds the settings of an Admitter. Zero fields take the defaults.
type Config struct {
	// Slots is the number of requests that the backend server can run at once.
	// The limit never exceeds it. At least 1.
	Slots int
	// QueueTime is the longest time in the queue; default 50 ms, or 5 s if
	// CapacityKnown.
	QueueTime time.Duration
	// QueueLength is the largest number of queued requests; default 4 × Slots,
	// at least 64.
	QueueLength int
	// Target is the acceptable queueing delay; default QueueTime / 2.
	Target time.Duration
	// CapacityKnown is true if Slots is the known capacity of the backend
	// server. The limit is then fixed at LimitShare × Slots, a request may be
	// queued while it can still be answered before its deadline, and the level
	// is computed from demand and capacity. Otherwise the limit adapts to
	// latency and refusals, and the level to the queueing delay.
	CapacityKnown bool
	// LimitShare is the share of Slots that the limit uses if CapacityKnown;
	// default 0.95, since many servers slow down close to saturation.
	LimitShare float64
	// RampTime is the time from a cold start to the full limit; default 3 s,
	// negative for no ramp.
	RampTime time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.QueueTime <= 0 {
		c.QueueTime = 50 * time.Millisecond
		if c.CapacityKnown {
			c.QueueTime = 5 * time.Second
		}
	}
	if c.LimitShare <= 0 {
		c.LimitShare = 0.95
	}
	if c.Target <= 0 {
		c.Target = c.QueueTime / 2
	}
	if c.RampTime == 0 {
		c.RampTime = 3 * time.Second
	}
	return c
}
