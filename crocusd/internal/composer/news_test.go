package composer

import (
	"context"
	"testing"
	"time"
)

// Pattern: the store changes and the answer to this node's watch is lost. Guards
// against a node that goes on with an old configuration until its watch times
// out, although every answer of a peer shows that there is a newer one.
func TestBehindPeers(t *testing.T) {
	w := newNews()
	w.tell(5)
	w.tell(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan bool, 1)
	go func() { got <- w.behind(ctx, 5) }()
	w.tell(6)
	select {
	case behind := <-got:
		if !behind {
			t.Error("not behind a peer that has read more")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a peer's revision was not noticed")
	}
	if w.behind(ended(), 6) {
		t.Error("behind without a peer that has read more")
	}
	if w.behind(ended(), 5) {
		t.Error("behind although the watch ended in time")
	}
}

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
