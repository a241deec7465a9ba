package admitter

import (
	"sync"
	"time"
)

const (
	// levelLifetime is how long a reported level counts. A service that is not
	// called any more would otherwise keep its last level.
	levelLifetime = 10 * time.Second
	// probeEvery is the share of requests below a level that pass as probes.
	probeEvery = 100
	// sweepSize is the number of entries from which expired ones are removed.
	sweepSize = 1024
)

type levelKey struct{ service, kind string }

type levelEntry struct {
	level    uint32
	observed time.Duration
}

// Levels holds the admission levels that called services reported, by service
// and kind. It is safe for concurrent use.
type Levels struct {
	mu      sync.RWMutex
	entries map[levelKey]levelEntry
	sweepAt int
}

// NewLevels returns an empty set of levels.
func NewLevels() *Levels {
	return &Levels{entries: make(map[levelKey]levelEntry), sweepAt: sweepSize}
}

// Observe stores the level of an answer. The latest level counts, whichever
// upstream reported it: when one of four upstreams is overloaded, about a
// quarter of the requests meet its level, the same part as it would receive.
func (l *Levels) Observe(now time.Duration, service, kind string, level uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := levelKey{service, kind}
	if level == 0 {
		delete(l.entries, k)
		return
	}
	l.entries[k] = levelEntry{level: level, observed: now}
	if len(l.entries) >= l.sweepAt {
		for k, e := range l.entries {
			if now-e.observed >= levelLifetime {
				delete(l.entries, k)
			}
		}
		l.sweepAt = max(sweepSize, 2*len(l.entries))
	}
}

// Effective returns the level of a kind, or 0 when none is known.
func (l *Levels) Effective(now time.Duration, service, kind string) uint32 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[levelKey{service, kind}]
	if !ok || now-e.observed >= levelLifetime {
		return 0
	}
	return e.level
}

// Allows tells whether a request may be sent. draw is a random number: 1 in 100
// requests below the level passes, so that a drop of the level is noticed.
func (l *Levels) Allows(now time.Duration, service, kind string, priority uint32, draw uint64) bool {
	return priority >= l.Effective(now, service, kind) || draw%probeEvery == 0
}
