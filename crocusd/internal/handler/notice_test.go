package handler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"crocustack/core/encoder"
	"crocustack/crocusd/internal/tracer"
)

// TestNoticeCarriesEffectiveLevel guards against a notice that leaves out the
// levels of called services, and against one that the sender doesn't apply.
func TestNoticeCarriesEffectiveLevel(t *testing.T) {
	gate, sender := newHandler(nil), newHandler(nil)
	gate.loadMessage(&encoder.Run{Service: "archive", Kind: "list"})
	now := gate.clock.Now()
	gate.calls.Observe(now, "list", tracer.Callee{Service: "index", Kind: "read"})
	gate.levels.Observe(now, "index", "read", 300)
	notice := gate.notice()
	want := &encoder.Notice{Kinds: []*encoder.KindLevel{{Service: "archive", Kind: "list", Level: 300}}}
	if d := cmp.Diff(want, notice, protocmp.Transform()); d != "" {
		t.Fatalf("-want +got:\n%s", d)
	}
	sender.ObserveNotice(notice)
	if got := sender.levels.Effective(sender.clock.Now(), "archive", "list"); got != 300 {
		t.Errorf("level %d at the sender, want 300", got)
	}
	sender.ObserveNotice(&encoder.Notice{Kinds: make([]*encoder.KindLevel, 10*maxNoticeKinds)})
	if got := sender.levels.Effective(sender.clock.Now()+time.Minute, "archive", "list"); got != 0 {
		t.Errorf("level %d a minute after the last notice, want 0", got)
	}
}
