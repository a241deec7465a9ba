package composer

import (
	"context"
	"sync/atomic"
	"time"

	"crocustack/core/timekeeper"
)

// peerLagTolerance is how long a node may lag behind a peer in reading a change
// of the store before it considers its own watch broken.
const peerLagTolerance = 250 * time.Millisecond

// peerRevision tracks the highest revision of the store that any peer has read.
// It is safe for concurrent use.
type peerRevision struct {
	highest atomic.Int64
	// changed has a capacity of 1 and signals that highest has increased.
	changed chan struct{}
}

func newPeerRevision() *peerRevision { return &peerRevision{changed: make(chan struct{}, 1)} }

// observe records the revision that a peer has read.
func (w *peerRevision) observe(revision int64) {
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

// waitBehind blocks until a peer has been ahead of the given revision for
// peerLagTolerance. It returns false when ctx is done first.
func (w *peerRevision) waitBehind(ctx context.Context, revision int64) bool {
	for {
		if w.highest.Load() > revision {
			timekeeper.Sleep(ctx, peerLagTolerance)
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.changed:
		}
	}
}
