package composer

import (
	"context"
	"sync"
	"time"

	"crocustack/core/connector"
	"crocustack/core/timekeeper"
)

// peerLagTolerance is how long a node may lag behind a peer in reading a change
// of the store before it considers its own watch broken, unless the store is slow.
const peerLagTolerance = 250 * time.Millisecond

// peerPosition tracks the latest position of the store that any peer has read. It
// is safe for concurrent use.
type peerPosition struct {
	mu     sync.Mutex
	latest connector.Position
	// changed has a capacity of 1 and signals that latest has advanced.
	changed chan struct{}
}

func newPeerPosition() *peerPosition { return &peerPosition{changed: make(chan struct{}, 1)} }

// highest returns the latest position that a peer has read.
func (w *peerPosition) highest() connector.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// observe records the position that a peer has read.
func (w *peerPosition) observe(p connector.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.latest.Before(p) {
		return
	}
	w.latest = p
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// waitBehind blocks until a peer has been ahead of the given position for the given
// time. It returns false when ctx is done first.
func (w *peerPosition) waitBehind(ctx context.Context, p connector.Position, tolerance time.Duration) bool {
	for {
		if p.Before(w.highest()) {
			timekeeper.Sleep(ctx, tolerance)
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.changed:
		}
	}
}
