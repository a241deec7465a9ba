package tracer

import (
	"sync"
	"time"
)

// callExpiry is how long a callee counts for the level of the calling kind after
// the last call. The levels themselves expire after the same time.
const callExpiry = 10 * time.Second

// Callee is a request kind of a called service.
type Callee struct{ Service, Kind string }

// Calls records which callees the runs of each kind have called recently. It is
// safe for concurrent use.
type Calls struct {
	mu   sync.Mutex
	seen map[string]map[Callee]time.Duration
}

// NewCalls returns an empty record of calls.
func NewCalls() *Calls { return &Calls{seen: make(map[string]map[Callee]time.Duration)} }

// Observe records a call that was made by a run of the kind.
func (c *Calls) Observe(now time.Duration, kind string, callee Callee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[kind] == nil {
		c.seen[kind] = make(map[Callee]time.Duration)
	}
	c.seen[kind][callee] = now
}

// Callees returns the callees of the kind within callExpiry.
func (c *Calls) Callees(now time.Duration, kind string) []Callee {
	c.mu.Lock()
	defer c.mu.Unlock()
	var callees []Callee
	for callee, at := range c.seen[kind] {
		if now-at > callExpiry {
			delete(c.seen[kind], callee)
			continue
		}
		callees = append(callees, callee)
	}
	return callees
}
