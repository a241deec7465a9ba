package forwarder

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"crocustack/core/admitter"
	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/tracer"
)

// newForwarder returns a Forwarder that has no links yet.
func newForwarder(t *testing.T, upstreams *router.Router) *Forwarder {
	t.Helper()
	links := linker.New(linker.DefaultConfig(), logr.Discard(), nil)
	t.Cleanup(links.Close)
	return New(Config{}, 1, timekeeper.NewClock(), links, upstreams, admitter.NewLevels(), tracer.NewCalls(), recorder.New(logr.Discard(), 8))
}

// TestOutcomeQueriesPause guards against outcome queries that follow each other
// without a pause while the gate can't be reached: each opens a connection and
// logs a line, and hundreds of requests ask at the same time when a failure domain
// is cut off.
func TestOutcomeQueriesPause(t *testing.T) {
	f := newForwarder(t, router.New(router.Config{}, "d", "r", 1))
	a := &attempt{
		loop: &retryLoop{f: f, sink: &trackingSink{}},
		run:  &encoder.Run{Target: &encoder.Incarnation{Address: "not an address"}},
	}
	for _, last := range []resolver.Event{resolver.VoidFailed{}, resolver.VoidRunning{}} {
		began := time.Now()
		if got := a.sendVoid(context.Background(), last); got != resolver.Event(resolver.VoidFailed{}) {
			t.Errorf("after %T: got %T, want VoidFailed", last, got)
		}
		if took := time.Since(began); took < voidRetryInterval {
			t.Errorf("after %T: the next query follows after %v, want at least %v", last, took, voidRetryInterval)
		}
	}
}
