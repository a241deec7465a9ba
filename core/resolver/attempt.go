package resolver

// Event is what happened to an attempt.
//
//sumtype:decl
type Event interface{ event() }

// The events.
type (
	NothingWritten struct{ Reason Reason }
	AnswerNotRun   struct{ Reason Reason }
	AnswerRan      struct{ Status int }
	AnswerUnknown  struct{ Reason Reason }
	LinkLost       struct{}
	VoidVoided     struct{}
	VoidRunning    struct{}
	VoidSettled    struct{}
	VoidForeign    struct{}
	VoidFailed     struct{}
	Cancelled      struct{}
	DeadlinePassed struct{}
)

func (NothingWritten) event() {}
func (AnswerNotRun) event()   {}
func (AnswerRan) event()      {}
func (AnswerUnknown) event()  {}
func (LinkLost) event()       {}
func (VoidVoided) event()     {}
func (VoidRunning) event()    {}
func (VoidSettled) event()    {}
func (VoidForeign) event()    {}
func (VoidFailed) event()     {}
func (Cancelled) event()      {}
func (DeadlinePassed) event() {}

type Inputs struct {
	Idempotent, Allowance, Ratio bool
}

type Step interface{ step() }
type AskVoid struct{}
type Retry struct{}
type Conclude struct{ Outcome Outcome }

func (AskVoid) step()  {}
func (Retry) step()    {}
func (Conclude) step() {}

func Decide(e Event, in Inputs) Step {
	notRun := func(r Reason) Step {
		if !r.Overloaded() && in.Allowance && in.Ratio {
			return Retry{}
		}
		return Conclude{NotRun{r}}
	}
	unknown := func(r Reason) Step {
		if in.Idempotent && in.Allowance && in.Ratio {
			return Retry{}
		}
		return Conclude{Unknown{r}}
	}
	switch e := e.(type) {
	case NothingWritten:
		return notRun(e.Reason)
	case AnswerNotRun:
		return notRun(e.Reason)
	case VoidVoided:
		return notRun(ReasonVoided)
	case AnswerRan:
		return Conclude{Ran{Status: e.Status}}
	case AnswerUnknown:
		return unknown(e.Reason)
	case LinkLost:
		if in.Idempotent {
			return unknown(ReasonLinkLost)
		}
		return AskVoid{}
	case Cancelled:
		return Conclude{Unknown{ReasonCancelled}}
	case DeadlinePassed:
		return Conclude{Unknown{ReasonDeadlineExceeded}}
	}
	return unknown(ReasonLinkLost)
}
