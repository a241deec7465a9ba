package resolver

// Event is something that the sender of an attempt learned about it.
//
//sumtype:decl
type Event interface{ event() }

// NothingWritten says that no byte of the attempt was handed to a link.
type NothingWritten struct{ Reason Reason }

// Sent says that bytes of the attempt may have left. It must be reported
// before the first write.
type Sent struct{}

// AnswerNotRun says that the gate refused the attempt for good.
type AnswerNotRun struct{ Reason Reason }

// AnswerRan says that the complete answer of the backend server arrived.
type AnswerRan struct{ Status int }

// AnswerUnknown says that the gate can't tell whether the request ran, or that
// its answer arrived incomplete.
type AnswerUnknown struct{ Reason Reason }

// LinkLost says that the link or stream broke before an answer.
type LinkLost struct{}

// VoidVoided says that the gate made the attempt void.
type VoidVoided struct{}

// VoidDone carries the outcome of the run that the gate has recorded.
type VoidDone struct{ Outcome Outcome }

// VoidRunning says that the run has not finished.
type VoidRunning struct{}

// VoidSettled says that the gate no longer knows.
type VoidSettled struct{}

// VoidForeign says that the target incarnation is gone.
type VoidForeign struct{}

// VoidFailed says that the gate could not be asked.
type VoidFailed struct{}

// Cancelled says that the caller went away.
type Cancelled struct{}

// DeadlinePassed says that no time is left.
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

// Decision is the next step of an attempt: Wait, AskVoid, Retry or Conclude.
//
//sumtype:decl
type Decision interface{ decision() }

// Wait says that nothing is to be done until the next event.
type Wait struct{}

// AskVoid says to send Void to the same incarnation, after a pause when the
// last reply was that the run has not finished.
type AskVoid struct{}

// Retry says to take one unit of allowance and ratio and to start another
// attempt. Otherwise is the outcome when a unit is gone by then.
type Retry struct{ Otherwise Outcome }

// Conclude ends the call with an outcome.
type Conclude struct{ Outcome Outcome }

func (Wait) decision()     {}
func (AskVoid) decision()  {}
func (Retry) decision()    {}
func (Conclude) decision() {}

// Permissions are the conditions for another attempt.
type Permissions struct {
	// Idempotent is that of the kind.
	Idempotent bool
	// Allowance is true when the call tree has a retry left.
	Allowance bool
	// Ratio is true when the retry ratio of the service has room.
	Ratio bool
	// Move is true when an attempt that the backend server has not seen may be
	// followed by one to another upstream.
	Move bool
}

// Phase is the state of one attempt. The zero value is a new attempt.
type Phase int

//go:generate stringer -type=Phase -trimprefix=Phase

// The phases in the order in which an attempt can pass them.
const (
	PhaseUnsent Phase = iota // Nothing was written.
	PhaseSent                // Something may have left; an answer is awaited.
	PhaseAsking              // The link is lost; the reply to Void is awaited.
	PhaseFinal               // Retry or Conclude was decided; events change nothing.
)

// Next returns the phase and the step after an event. An event that the phase
// does not expect is never taken as a proof that the request was not run.
func (p Phase) Next(e Event, may Permissions) (Phase, Decision) {
	if p == PhaseFinal {
		return PhaseFinal, Wait{}
	}
	switch e := e.(type) {
	case NothingWritten:
		if p == PhaseUnsent {
			return settle(NotRun(e), may)
		}
		return PhaseAsking, AskVoid{}
	case Sent:
		if p == PhaseAsking {
			return PhaseAsking, Wait{}
		}
		return PhaseSent, Wait{}
	case AnswerNotRun:
		return settle(NotRun(e), may)
	case AnswerRan:
		return settle(Ran(e), may)
	case AnswerUnknown:
		return settle(Unknown(e), may)
	case LinkLost:
		// An idempotent kind needs no proof before a retry, and asking for one
		// costs a round trip on a new link.
		if lost := (Unknown{ReasonLinkLost}); mayRetry(lost, may) {
			return settle(lost, may)
		}
		return PhaseAsking, AskVoid{}
	case VoidVoided:
		return settle(NotRun{ReasonVoided}, may)
	case VoidDone:
		if e.Outcome == nil {
			return settle(Unknown{ReasonBroken}, may)
		}
		return settle(e.Outcome, may)
	case VoidRunning:
		return PhaseAsking, AskVoid{}
	case VoidSettled:
		return settle(Unknown{ReasonSettled}, may)
	case VoidForeign:
		return settle(Unknown{ReasonWrongIncarnation}, may)
	case VoidFailed:
		return settle(Unknown{ReasonLinkLost}, may)
	case Cancelled:
		return PhaseFinal, Conclude{p.abandon(ReasonCancelled)}
	case DeadlinePassed:
		return PhaseFinal, Conclude{p.abandon(ReasonDeadlineExceeded)}
	}
	return p, Wait{}
}

// abandon is the outcome of an attempt that is given up without an answer.
func (p Phase) abandon(r Reason) Outcome {
	if p == PhaseUnsent {
		return NotRun{r}
	}
	return Unknown{r}
}

func settle(o Outcome, may Permissions) (Phase, Decision) {
	if mayRetry(o, may) {
		return PhaseFinal, Retry{Otherwise: o}
	}
	return PhaseFinal, Conclude{o}
}

func mayRetry(o Outcome, may Permissions) bool {
	if o, ok := o.(NotRun); ok && may.Move && o.Reason.BeforeBackend() {
		return true
	}
	if !may.Allowance || !may.Ratio {
		return false
	}
	switch o := o.(type) {
	case NotRun:
		return !o.Reason.Overloaded() && !o.Reason.final()
	case Unknown:
		return may.Idempotent && !o.Reason.Overloaded() && !o.Reason.final()
	case Ran:
		return false
	}
	return false
}

// final tells whether another attempt of the same request would fail for the
// same reason.
func (r Reason) final() bool {
	switch r {
	case ReasonDeadlineExceeded, ReasonCancelled, ReasonTicketRequired, ReasonTicketExpired,
		ReasonTicketForeign, ReasonUnknownService, ReasonUnknownKind, ReasonBadRequest,
		ReasonBodyTooLarge, ReasonNoUpstream, ReasonNoRetryLeft:
		return true
	default:
		return false
	}
}
