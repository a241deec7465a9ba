package resolver

// Event is what the sender of an attempt learns about its progress.
//
//sumtype:decl
type Event interface{ event() }

// NothingWritten means that no byte of the attempt was written to a link.
type NothingWritten struct{ Reason Reason }

// Sent means that bytes of the attempt may have been sent. It must be reported
// before the first write.
type Sent struct{}

// AnswerNotRun means that the gate refused the attempt permanently.
type AnswerNotRun struct{ Reason Reason }

// AnswerRan means that the complete answer of the backend server arrived.
type AnswerRan struct{ Status int }

// AnswerUnknown means that the gate does not know whether the request ran, or
// that its answer arrived incomplete.
type AnswerUnknown struct{ Reason Reason }

// LinkLost means that the link or stream broke before an answer arrived.
type LinkLost struct{}

// VoidVoided means that the gate voided the attempt: it will never run.
type VoidVoided struct{}

// VoidDone means that the attempt has ended. Outcome is what the gate recorded.
type VoidDone struct{ Outcome Outcome }

// VoidRunning means that the attempt has not ended yet.
type VoidRunning struct{}

// VoidSettled means that the gate no longer holds a record of the attempt.
type VoidSettled struct{}

// VoidForeign means that the target incarnation is gone: its address refuses
// connections or belongs to another one.
type VoidForeign struct{}

// VoidFailed means that Void could not be sent or was not fully answered.
type VoidFailed struct{}

// Cancelled means that the caller cancelled the request or disconnected.
type Cancelled struct{}

// DeadlinePassed means that the deadline of the request has passed.
type DeadlinePassed struct{}

func (NothingWritten) event() {}
func (Sent) event()           {}
func (AnswerNotRun) event()   {}
func (AnswerRan) event()      {}
func (AnswerUnknown) event()  {}
func (LinkLost) event()       {}
func (VoidVoided) event()     {}
func (VoidDone) event()       {}
func (VoidRunning) event()    {}
func (VoidSettled) event()    {}
func (VoidForeign) event()    {}
func (VoidFailed) event()     {}
func (Cancelled) event()      {}
func (DeadlinePassed) event() {}

// Decision is the next step of an attempt: Wait, SendVoid, Retry or Conclude.
//
//sumtype:decl
type Decision interface{ decision() }

// Wait means that there is nothing to do until the next event.
type Wait struct{}

// SendVoid means to send Void to the same incarnation, after a pause if the last
// event was VoidRunning or VoidFailed.
type SendVoid struct{}

// Retry means to take one unit each of the allowance and the retry ratio and to
// start another attempt. Fallback is the outcome of the call if one of them is
// used up by then.
type Retry struct{ Fallback Outcome }

// Conclude means to end the call with an outcome.
type Conclude struct{ Outcome Outcome }

func (Wait) decision()     {}
func (SendVoid) decision() {}
func (Retry) decision()    {}
func (Conclude) decision() {}

// Permissions are the conditions under which another attempt is allowed.
type Permissions struct {
	// Idempotent is true when requests of the kind are idempotent.
	Idempotent bool
	// Allowance is true when the call tree has a retry left.
	Allowance bool
	// Ratio is true when the retry ratio of the service allows another retry.
	Ratio bool
	// TransparentRetry is true when an attempt that the backend server has not
	// seen may be repeated at another upstream without counting as a retry.
	TransparentRetry bool
	// Suspected is true when too many backend servers have ended while running the
	// request for it to be sent to another one after it may have run.
	Suspected bool
}

// Phase is the state of one attempt. The zero value is a new attempt.
type Phase int

//go:generate stringer -type=Phase -trimprefix=Phase

// The phases in the order in which an attempt can pass them.
const (
	PhaseUnsent Phase = iota // No byte was written.
	PhaseSent                // Bytes may have been sent; an answer is awaited.
	PhaseAsking              // The link was lost; the reply to Void is awaited.
	PhaseFinal               // Retry or Conclude was decided; events are ignored.
)

// Next returns the phase and the decision after an event. An event that is not
// expected in the phase is never taken as proof that the request was not run.
func (p Phase) Next(e Event, allowed Permissions) (Phase, Decision) {
	if p == PhaseFinal {
		return PhaseFinal, Wait{}
	}
	switch e := e.(type) {
	case NothingWritten:
		if p == PhaseUnsent {
			return retryOrConclude(NotRun(e), allowed)
		}
		return PhaseAsking, SendVoid{}
	case Sent:
		if p == PhaseAsking {
			return PhaseAsking, Wait{}
		}
		return PhaseSent, Wait{}
	case AnswerNotRun:
		return retryOrConclude(NotRun(e), allowed)
	case AnswerRan:
		return retryOrConclude(Ran(e), allowed)
	case AnswerUnknown:
		return retryOrConclude(Unknown(e), allowed)
	case LinkLost:
		// An idempotent request needs no proof before a retry, and asking for
		// one costs a round trip on a new link.
		if lost := (Unknown{ReasonLinkLost}); mayRetry(lost, allowed) {
			return retryOrConclude(lost, allowed)
		}
		return PhaseAsking, SendVoid{}
	case VoidVoided:
		return retryOrConclude(NotRun{ReasonVoided}, allowed)
	case VoidDone:
		if e.Outcome == nil {
			return retryOrConclude(Unknown{ReasonBroken}, allowed)
		}
		return retryOrConclude(e.Outcome, allowed)
	case VoidRunning:
		return PhaseAsking, SendVoid{}
	case VoidSettled:
		return retryOrConclude(Unknown{ReasonSettled}, allowed)
	case VoidForeign:
		return retryOrConclude(Unknown{ReasonWrongIncarnation}, allowed)
	case VoidFailed:
		// The gate may only be silent for a while, with the request running. The
		// caller can't send a non-idempotent request again anyway, so asking goes
		// on until the deadline.
		if !allowed.Idempotent {
			return PhaseAsking, SendVoid{}
		}
		return retryOrConclude(Unknown{ReasonLinkLost}, allowed)
	case Cancelled:
		return PhaseFinal, Conclude{p.outcomeWithoutAnswer(ReasonCancelled)}
	case DeadlinePassed:
		return PhaseFinal, Conclude{p.outcomeWithoutAnswer(ReasonDeadlineExceeded)}
	}
	return p, Wait{}
}

// outcomeWithoutAnswer returns the outcome of an attempt that ends without an
// answer.
func (p Phase) outcomeWithoutAnswer(r Reason) Outcome {
	if p == PhaseUnsent {
		return NotRun{r}
	}
	return Unknown{r}
}

func retryOrConclude(o Outcome, allowed Permissions) (Phase, Decision) {
	if mayRetry(o, allowed) {
		return PhaseFinal, Retry{Fallback: o}
	}
	return PhaseFinal, Conclude{o}
}

func mayRetry(o Outcome, allowed Permissions) bool {
	if o, ok := o.(NotRun); ok && allowed.TransparentRetry && o.Reason.BeforeBackend() {
		return true
	}
	if !allowed.Allowance || !allowed.Ratio {
		return false
	}
	switch o := o.(type) {
	case NotRun:
		return !o.Reason.Overloaded() && !o.Reason.permanent()
	case Unknown:
		return allowed.Idempotent && !allowed.Suspected && !o.Reason.Overloaded() && !o.Reason.permanent()
	case Ran:
		return false
	}
	return false
}

// permanent reports whether another attempt of the same request would fail for
// the same reason.
func (r Reason) permanent() bool {
	switch r {
	case ReasonDeadlineExceeded, ReasonCancelled, ReasonTicketRequired, ReasonTicketExpired,
		ReasonTicketForeign, ReasonUnknownService, ReasonUnknownKind, ReasonBadRequest,
		ReasonBodyTooLarge, ReasonNoUpstream, ReasonNoRetryLeft, ReasonQuarantined, ReasonOnProbation:
		return true
	default:
		return false
	}
}
