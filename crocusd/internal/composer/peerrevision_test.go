package composer

import (
	"context"
	"testing"
	"time"
)

// The response to this node's watch may be lost when the store changes. Guards
// against using the old configuration until the watch times out, although every
// answer of a peer reports a newer revision.
func TestBehindPeers(t *testing.T) {
	w := newPeerRevision()
	w.observe(5)
	w.observe(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan bool, 1)
	go func() { got <- w.waitBehind(ctx, 5) }()
	w.observe(6)
	select {
	case behind := <-got:
		if !behind {
			t.Error("not behind although a peer has read a newer revision")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a peer's newer revision was not detected within 10s")
	}
	if w.waitBehind(ended(), 6) {
		t.Error("behind although no peer has read a newer revision")
	}
	if w.waitBehind(ended(), 5) {
		t.Error("behind although the watch ended before the delay")
	}
}

// ended returns a context that is already cancelled.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
