package detector

import (
	"sync"
	"time"
)

// PauseDetector detects that the process did not run for a while, for example
// because it was stopped or its machine suspended. It is safe for concurrent
// use. Times are monotonic and start at 0 with the process.
type PauseDetector struct {
	threshold time.Duration

	mu sync.Mutex
	// lastTick is the time of the last tick; it never decreases.
	lastTick time.Duration
	// lastCall is the time of the last call of any method: lastCall >= lastTick.
	lastCall time.Duration
	// resumed is the time of the first call after the last pause, or -1 before
	// the first pause. It is later than lastTick until the next tick.
	resumed time.Duration
}

// NewPauseDetector returns a detector that takes gaps longer than threshold for
// pauses.
func NewPauseDetector(threshold time.Duration) *PauseDetector {
	return &PauseDetector{threshold: threshold, resumed: -1}
}

// Tick records a tick of the caller's periodic timer and reports whether a pause
// ended since the last tick.
func (p *PauseDetector) Tick(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.observe(now)
	p.lastTick = max(p.lastTick, now)
	return paused
}

// PausedSinceTick reports whether a pause ended since the last tick, without
// recording a tick.
func (p *PauseDetector) PausedSinceTick(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe(now)
}

// PausedSince reports whether a pause ended at or after confirmed, the time at
// which a link was opened or its last completed round trip was started.
// Requests read from such a link must wait for a new round trip, because they
// may have been sent before the pause.
func (p *PauseDetector) PausedSince(now, confirmed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now)
	return confirmed <= p.resumed
}

// observe detects a gap since the last tick and also one since the last call: a
// second pause can begin after a request detected the end of the first one and
// before the next tick.
func (p *PauseDetector) observe(now time.Duration) bool {
	missed := p.resumed <= p.lastTick && now-p.lastTick > p.threshold
	if missed || now-p.lastCall > p.threshold {
		p.resumed = now
	}
	p.lastCall = max(p.lastCall, now)
	return p.resumed > p.lastTick
}
