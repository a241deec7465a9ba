package detector

import (
	"sync"
	"time"
)

// Pause detects that the process did not run for a while. It is safe for
// concurrent use. Times are monotonic and start at 0 with the process.
type Pause struct {
	threshold time.Duration

	mu sync.Mutex
	// last is the time of the last tick; it never goes back.
	last time.Duration
	// seen is the time of the last call: seen >= last.
	seen time.Duration
	// resumed is the earliest time at which the end of the last pause was
	// seen, or -1. It is later than last until the next tick.
	resumed time.Duration
}

// NewPause returns a detector for gaps above the threshold.
func NewPause(threshold time.Duration) *Pause {
	return &Pause{threshold: threshold, resumed: -1}
}

// Tick says that the process is running. It returns true when a pause ended
// since the last tick.
func (p *Pause) Tick(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.observe(now)
	p.last = max(p.last, now)
	return paused
}

// Suspect tells whether the last tick is too long ago, which is so from the end
// of a pause until the next tick.
func (p *Pause) Suspect(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe(now)
}

// SuspectSince tells whether a pause ended at or after confirmed, the time at
// which a link was opened or its last completed round trip was started.
// Requests read from such a link have to wait for a new round trip.
func (p *Pause) SuspectSince(now, confirmed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now)
	return confirmed <= p.resumed
}

// observe detects a gap since the last tick, and also one since the last call:
// a second pause can begin after a request saw the end of the first one and
// before the next tick.
func (p *Pause) observe(now time.Duration) bool {
	missed := p.resumed <= p.last && now-p.last > p.threshold
	if missed || now-p.seen > p.threshold {
		p.resumed = now
	}
	p.seen = max(p.seen, now)
	return p.resumed > p.last
}
