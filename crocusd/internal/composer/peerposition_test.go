package composer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

// The response to this node's watch may be lost when the store changes. Guards
// against using the old configuration until the watch times out, although every
// answer of a peer reports a newer revision.
func TestBehindPeers(t *testing.T) {
	w := newPeerPosition()
	w.observe(at(1, 5))
	w.observe(at(1, 3))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan bool, 1)
	go func() { got <- w.waitBehind(ctx, at(1, 5), peerLagTolerance) }()
	w.observe(at(1, 6))
	select {
	case behind := <-got:
		if !behind {
			t.Error("not behind although a peer has read a newer revision")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a peer's newer revision was not detected within 10s")
	}
	if w.waitBehind(ended(), at(1, 6), peerLagTolerance) {
		t.Error("behind although no peer has read a newer revision")
	}
	if w.waitBehind(ended(), at(1, 5), peerLagTolerance) {
		t.Error("behind although the watch ended before the delay")
	}
}

// TestEarlierEraIsNotAhead guards against watches that are given up because peers
// read higher revisions before the store was restored from a copy, and against a
// node that doesn't notice that peers have read the restored store.
func TestEarlierEraIsNotAhead(t *testing.T) {
	w := newPeerPosition()
	w.observe(at(1, 22))
	if w.waitBehind(ended(), at(2, 20), peerLagTolerance) {
		t.Error("behind a revision of the era before")
	}
	w.observe(at(2, 20))
	w.observe(at(1, 30))
	if d := cmp.Diff(at(2, 20), w.highest()); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	if !w.waitBehind(context.Background(), at(1, 30), peerLagTolerance) {
		t.Error("not behind although a peer has read the restored store")
	}
}

// at returns a position of the store.
func at(era, revision int64) connector.Position {
	return connector.Position{Era: era, Revision: revision}
}

// ended returns a context that is already cancelled.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
