package handler

import (
	"maps"
	"sync"
	"time"

	"crocustack/core/quarantiner"
)

const (
	// minTrialPause and maxTrialPause bound the pause after a trial that did not complete.
	// It doubles with each further one: a trial keeps others from the server.
	minTrialPause = time.Second
	maxTrialPause = 30 * time.Second
	// maxPauses bounds the requests whose pauses are remembered.
	maxPauses = 1024
)

// trialPause is the pause after the last trial of one request.
type trialPause struct {
	until time.Duration
	// length is that of the pause.
	length time.Duration
}

// trialPauses holds the pauses between the trials of requests at this gate. It is safe for
// concurrent use.
type trialPauses struct {
	mu    sync.Mutex
	byKey map[quarantiner.Key]trialPause
}

// begin begins a pause after a trial that did not complete.
func (p *trialPauses) begin(now time.Duration, k quarantiner.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := min(max(2*p.byKey[k].length, minTrialPause), maxTrialPause)
	if len(p.byKey) >= maxPauses {
		maps.DeleteFunc(p.byKey, func(_ quarantiner.Key, old trialPause) bool { return now >= old.until })
	}
	if p.byKey == nil {
		p.byKey = make(map[quarantiner.Key]trialPause)
	}
	if len(p.byKey) < maxPauses {
		p.byKey[k] = trialPause{now + length, length}
	}
}

// active reports whether no trial of a request may begin.
func (p *trialPauses) active(now time.Duration, k quarantiner.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.byKey[k].until
}

// end forgets the pauses of a request that a run has cleared.
func (p *trialPauses) end(k quarantiner.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byKey, k)
}
