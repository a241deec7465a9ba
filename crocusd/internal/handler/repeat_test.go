package handler

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"crocustack/core/admitter"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/tracer"
)

// scripted is a backend server that gives the replies of a list, the last one
// again and again.
type scripted struct {
	replies []connector.Reply
	calls   int
}

func (s *scripted) Do(context.Context, connector.Call) connector.Reply {
	r := s.replies[min(s.calls, len(s.replies)-1)]
	s.calls++
	return r
}

var shed = connector.NotRun{Reason: resolver.ReasonBackendRefused}

func newHandler(b connector.Backend) *Handler {
	return New(Config{PauseThreshold: time.Second, Admission: admitter.Config{Slots: 10, CapacityKnown: true}}, b,
		gatekeeper.Incarnation{Service: "s", Address: "a", BootID: 1}, timekeeper.NewClock(), tracer.NewRegistry(), tracer.NewCalls(),
		admitter.NewLevels(), recorder.New(logr.Discard(), 8))
}

// Pattern: a backend server sheds part of its requests although it has room and
// its health check is good. Guards against requests that fail for one refusal,
// and against repeats beyond the service's bound.
func TestRefusedWithRoomIsSentAgain(t *testing.T) {
	b := &scripted{replies: []connector.Reply{shed, shed, connector.Answered{Status: 200}}}
	h := newHandler(b)
	h.LimitRepeats(0, 5, 10*time.Second)
	reply := h.send(context.Background(), &encoder.Run{}, connector.Call{})
	if d := cmp.Diff(connector.Reply(connector.Answered{Status: 200}), reply); d != "" || b.calls != 3 {
		t.Errorf("%d calls, -want +got:\n%s", b.calls, d)
	}
	b.replies = []connector.Reply{shed}
	b.calls = 0
	for range 10 {
		h.send(context.Background(), &encoder.Run{}, connector.Call{})
	}
	if b.calls != 10+3 {
		t.Errorf("%d calls for 10 requests, want 13: 3 of 5 repeats were left", b.calls)
	}
}

// Guards against a second try that reaches the backend server when the repeats
// of the window are used up. It is refused, which is true: this gate didn't run
// it.
func TestSecondTryIsBounded(t *testing.T) {
	b := &scripted{replies: []connector.Reply{connector.Answered{Status: 200}}}
	h := newHandler(b)
	h.LimitRepeats(0, 1, 10*time.Second)
	var got []connector.Reply
	for range 2 {
		got = append(got, h.send(context.Background(), &encoder.Run{Again: true}, connector.Call{}))
	}
	want := []connector.Reply{connector.Answered{Status: 200}, connector.NotRun{Reason: resolver.ReasonNoRetryLeft}}
	if d := cmp.Diff(want, got); d != "" || b.calls != 1 {
		t.Errorf("%d calls, -want +got:\n%s", b.calls, d)
	}
}

// Guards against calls of a repeated run that are not counted: they are sent,
// since their tree is already under way, but leave less for other repeats.
func TestCallsOfRepeatedRunCount(t *testing.T) {
	b := &scripted{replies: []connector.Reply{connector.Answered{Status: 200}}}
	h := newHandler(b)
	h.LimitRepeats(0, 2, 10*time.Second)
	for range 2 {
		h.send(context.Background(), &encoder.Run{RepeatedTree: true}, connector.Call{})
	}
	if got := h.send(context.Background(), &encoder.Run{Again: true}, connector.Call{}); got != connector.Reply(connector.NotRun{Reason: resolver.ReasonNoRetryLeft}) || b.calls != 2 {
		t.Errorf("%d calls, the second try got %+v", b.calls, got)
	}
}

// Guards against a resend that a full backend server would refuse as well.
func TestFullBackendGetsNoResend(t *testing.T) {
	b := &scripted{replies: []connector.Reply{shed}}
	h := newHandler(b)
	h.LimitRepeats(0, 100, 10*time.Second)
	for range 9 {
		if _, reason := h.adm.enter(context.Background(), admitter.Request{}); reason != resolver.ReasonNone {
			t.Fatal(reason)
		}
	}
	h.send(context.Background(), &encoder.Run{}, connector.Call{})
	if b.calls != 1 {
		t.Errorf("%d calls, want 1", b.calls)
	}
}
