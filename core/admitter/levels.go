package admitter

import (
	"sync"
	"time"
)

// NoticeInterval is the interval at which a gate notifies the nodes that send it
// requests of levels above 0. An answer carries them too, but one of hundreds of
// entry nodes may send a request a second.
const NoticeInterval = 200 * time.Millisecond

const (
	// levelHold is the time for which a reported level applies in full: until the
	// next notice.
	levelHold = NoticeInterval + 50*time.Millisecond
	// levelDecay is the number of levels per second by which a reported level
	// falls after levelHold. The answers to the requests that it then lets pass
	// report the current level. Probing with a fixed share of the requests (1 in
	// 100) took more than 6 s to detect a fall for a kind with 20 requests a
	// second.
	levelDecay = 256
	// levelLifetime is the time after which a level without a new report is 0.
	levelLifetime = levelHold + numLevels*time.Second/levelDecay
	// sweepSize is the lowest number of entries at which expired ones are
	// removed.
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

// Observe stores the level that an answer reports. The latest report applies,
// whichever upstream it comes from: when one of four upstreams is overloaded,
// its level applies to about a quarter of the requests, the same share as it
// would receive.
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

// Effective returns the level of a kind, or 0 when none is known. A level
// without a new report falls steadily to 0.
func (l *Levels) Effective(now time.Duration, service, kind string) uint32 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[levelKey{service, kind}]
	if !ok {
		return 0
	}
	return e.effective(now)
}

func (e levelEntry) effective(now time.Duration) uint32 {
	fallen := uint32(max(now-e.observed-levelHold, 0) * levelDecay / time.Second)
	return e.level - min(e.level, fallen)
}

// KindLevel is the level of one kind of a service.
type KindLevel struct {
	Service, Kind string
	Level         uint32
}

// All returns the levels above 0 in no particular order.
func (l *Levels) All(now time.Duration) []KindLevel {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []KindLevel
	for k, e := range l.entries {
		if level := e.effective(now); level > 0 {
			all = append(all, KindLevel{Service: k.service, Kind: k.kind, Level: level})
		}
	}
	return all
}
