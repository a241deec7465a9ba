package detector

import (
	"sync"
	"time"
)

// Pause detects that the process did not run for a while, for example because it
// was stopped or its machine suspended. It is safe for concurrent use. Times are
// monotonic and start at 0 with the process.
type Pause struct {
	threshold time.Duration

	mu sync.Mutex
	// last is the time of the last tick; it never decreases.
	last time.Duration
	// seen is the time of the last call: seen >= last.
	seen time.Duration
	// resumed is the time of the first call after the last pause, or -1 before
	// the first pause. It is later than last until the next tick.
	resumed time.Duration
}

// NewPause returns a detector that takes gaps longer than threshold for pauses.
func NewPause(threshold time.Duration) *Pause {
	return &Pause{threshold: threshold, resumed: -1}
}

// Tick records a tick of the caller's periodic timer and reports whether a pause
// ended since the last tick.
func (p *Pause) Tick(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.observe(now)
	p.last = max(p.last, now)
	return paused
}

// Suspect reports whether a pause ended since the last tick, without recording a
// tick.
func (p *Pause) Suspect(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe(now)
}

// SuspectSince reports whether a pause ended at or after confirmed, the time at
// which a link was opened or its last completed round trip was started.
// Requests read from such a link must wait for a new round trip, because they
// may have been sent before the pause.
func (p *Pause) SuspectSince(now, confirmed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now)
	return confirmed <= p.resumed
}

// observe detects a gap since the last tick and also one since the last call: a
// second pause can begin after a request detected the end of the first one and
// before the next tick.
func (p *Pause) observe(now time.Duration) bool {
	missed := p.resumed <= p.last && now-p.last > p.threshold
	if missed || now-p.seen > p.threshold {
		p.resumed = now
	}
	p.seen = max(p.seen, now)
	return p.resumed > p.last
}
