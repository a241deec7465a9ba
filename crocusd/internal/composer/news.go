package composer

import (
	"context"
	"sync/atomic"
	"time"

	"crocustack/core/timekeeper"
)

// newsDelay is how long a node may lag behind a peer in reading a change of the
// store before it considers its own watch broken.
const newsDelay = 250 * time.Millisecond

// news tracks the highest revision of the store that any peer has read. It is
// safe for concurrent use.
type news struct {
	highest atomic.Int64
	// changed has a capacity of 1 and signals that highest has increased.
	changed chan struct{}
}

func newNews() *news { return &news{changed: make(chan struct{}, 1)} }

// tell records the revision that a peer has read.
func (w *news) tell(revision int64) {
	for {
		old := w.highest.Load()
		if revision <= old {
			return
		}
		if w.highest.CompareAndSwap(old, revision) {
			break
		}
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// behind blocks until a peer has been ahead of the given revision for
// newsDelay. It returns false when ctx is done first.
func (w *news) behind(ctx context.Context, revision int64) bool {
	for {
		if w.highest.Load() > revision {
			timekeeper.Sleep(ctx, newsDelay)
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.changed:
		}
	}
}
