package resolver

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var events = []Event{
	NothingWritten{ReasonNoLink}, NothingWritten{ReasonBufferFull}, Sent{},
	AnswerNotRun{ReasonDraining}, AnswerNotRun{ReasonQueueFull}, AnswerNotRun{ReasonTicketExpired},
	AnswerRan{200}, AnswerUnknown{ReasonBackendLost}, LinkLost{}, VoidVoided{},
	VoidDone{Ran{200}}, VoidDone{Unknown{ReasonBackendLost}}, VoidDone{NotRun{ReasonDraining}}, VoidDone{},
	VoidRunning{}, VoidSettled{}, VoidForeign{}, VoidFailed{}, Cancelled{}, DeadlinePassed{},
}

// proves reports whether the event alone proves that the attempt never runs. sent
// is true when bytes may have been sent before.
func proves(e Event, sent bool) bool {
	switch e := e.(type) {
	case NothingWritten, Cancelled, DeadlinePassed:
		return !sent
	case AnswerNotRun, VoidVoided:
		return true
	case VoidDone:
		_, ok := e.Outcome.(NotRun)
		return ok
	default:
		return false
	}
}

// TestNextRules guards promises P4 and P5 at the sender: against NotRun without
// proof, a retry of a request that may have run, a retry under overload or
// without permission, and a second Retry or Conclude, for any sequence of
// events.
func TestNextRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		may := Permissions{Idempotent: rapid.Bool().Draw(t, "idempotent"), Allowance: rapid.Bool().Draw(t, "allowance"), Ratio: rapid.Bool().Draw(t, "ratio")}
		var phase Phase
		sent, final := false, false
		for _, e := range rapid.SliceOfN(rapid.SampledFrom(events), 1, 12).Draw(t, "events") {
			next, d := phase.Next(e, may)
			var outcome Outcome
			switch d := d.(type) {
			case Retry:
				outcome = d.Outcome
				if !may.Allowance || !may.Ratio {
					t.Fatalf("%T: retry without permission", e)
				}
				switch o := outcome.(type) {
				case NotRun:
					if o.Reason.Overloaded() {
						t.Fatalf("%T: retry of %v", e, o.Reason)
					}
				case Unknown:
					if !may.Idempotent || o.Reason.Overloaded() {
						t.Fatalf("%T: retry of a request that may have run", e)
					}
				case Ran:
					t.Fatalf("%T: retry of a request that ran", e)
				}
			case Conclude:
				outcome = d.Outcome
			case Wait, SendVoid:
			}
			if _, ok := outcome.(NotRun); ok && !proves(e, sent) {
				t.Fatalf("%T: NotRun without proof", e)
			}
			if final && d != (Wait{}) {
				t.Fatalf("%T: %+v after Retry or Conclude", e, d)
			}
			final = final || outcome != nil
			_, nothing := e.(NothingWritten)
			sent, phase = sent || !nothing, next
		}
	})
}

// TestNext guards against steps that obey the rules of TestNextRules but are
// more cautious than necessary, such as Unknown where NotRun is proven or no
// retry where one is allowed.
func TestNext(t *testing.T) {
	all, safe, none := Permissions{Idempotent: true, Allowance: true, Ratio: true}, Permissions{Allowance: true, Ratio: true}, Permissions{}
	for _, c := range []struct {
		phase Phase
		event Event
		may   Permissions
		next  Phase
		want  Decision
	}{
		{PhaseUnsent, NothingWritten{ReasonNoLink}, safe, PhaseFinal, Retry{NotRun{ReasonNoLink}}},
		{PhaseUnsent, NothingWritten{ReasonNoLink}, none, PhaseFinal, Conclude{NotRun{ReasonNoLink}}},
		{PhaseUnsent, Sent{}, safe, PhaseSent, Wait{}},
		{PhaseUnsent, Cancelled{}, safe, PhaseFinal, Conclude{NotRun{ReasonCancelled}}},
		{PhaseSent, NothingWritten{ReasonNoLink}, safe, PhaseAsking, SendVoid{}},
		{PhaseSent, LinkLost{}, safe, PhaseAsking, SendVoid{}},
		{PhaseSent, LinkLost{}, all, PhaseFinal, Retry{Unknown{ReasonLinkLost}}},
		{PhaseSent, AnswerNotRun{ReasonDraining}, safe, PhaseFinal, Retry{NotRun{ReasonDraining}}},
		{PhaseSent, AnswerNotRun{ReasonQueueFull}, all, PhaseFinal, Conclude{NotRun{ReasonQueueFull}}},
		{PhaseSent, AnswerNotRun{ReasonTicketExpired}, all, PhaseFinal, Conclude{NotRun{ReasonTicketExpired}}},
		{PhaseSent, AnswerRan{201}, all, PhaseFinal, Conclude{Ran{201}}},
		{PhaseSent, AnswerUnknown{ReasonBroken}, all, PhaseFinal, Retry{Unknown{ReasonBroken}}},
		{PhaseSent, DeadlinePassed{}, all, PhaseFinal, Conclude{Unknown{ReasonDeadlineExceeded}}},
		{PhaseAsking, VoidVoided{}, safe, PhaseFinal, Retry{NotRun{ReasonVoided}}},
		{PhaseAsking, VoidDone{Ran{200}}, safe, PhaseFinal, Conclude{Ran{200}}},
		{PhaseAsking, VoidRunning{}, safe, PhaseAsking, SendVoid{}},
		{PhaseAsking, VoidSettled{}, safe, PhaseFinal, Conclude{Unknown{ReasonSettled}}},
		{PhaseAsking, VoidForeign{}, safe, PhaseFinal, Conclude{Unknown{ReasonWrongIncarnation}}},
		{PhaseAsking, VoidFailed{}, safe, PhaseFinal, Conclude{Unknown{ReasonLinkLost}}},
		{PhaseAsking, VoidDone{}, safe, PhaseFinal, Conclude{Unknown{ReasonBroken}}},
	} {
		next, got := c.phase.Next(c.event, c.may)
		if diff := cmp.Diff([]any{c.next, c.want}, []any{next, got}); diff != "" {
			t.Errorf("%v %T: (-want +got)\n%s", c.phase, c.event, diff)
		}
	}
}
