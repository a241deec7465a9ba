package tracer

import (
	"sync"
	"time"
)

// callExpiry is how long a call that is no longer made counts for the level of
// its kind; the levels themselves expire after the same time.
const callExpiry = 10 * time.Second

// Callee is a kind of request of another service.
type Callee struct{ Service, Kind string }

// Calls remembers which kinds the runs of each kind called of late. It is safe
// for concurrent use.
type Calls struct {
	mu   sync.Mutex
	seen map[string]map[Callee]time.Duration
}

// NewCalls returns an empty memory.
func NewCalls() *Calls { return &Calls{seen: make(map[string]map[Callee]time.Duration)} }

// Observe notes that a run of the kind made a call.
func (c *Calls) Observe(now time.Duration, kind string, callee Callee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[kind] == nil {
		c.seen[kind] = make(map[Callee]time.Duration)
	}
	c.seen[kind][callee] = now
}

// Of returns what runs of the kind called within the expiry.
func (c *Calls) Of(now time.Duration, kind string) []Callee {
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
