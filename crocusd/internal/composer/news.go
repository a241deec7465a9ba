package composer

import (
	"context"
	"sync/atomic"
	"time"

	"crocustack/core/timekeeper"
)

// newsDelay is how much later than a peer a node may read a change of the store
// before it takes its own watch for broken.
const newsDelay = 250 * time.Millisecond

// news holds the highest revision of the store that a peer has read. It is safe
// for concurrent use.
type news struct {
	highest atomic.Int64
	// changed has room for one notice that highest has grown.
	changed chan struct{}
}

func newNews() *news { return &news{changed: make(chan struct{}, 1)} }

// tell notes the revision that a peer has read.
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

// behind waits until a peer has been ahead of the revision for newsDelay. It
// returns false when ctx ended first.
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
