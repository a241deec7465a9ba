package gatekeeper

import (
	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// AttemptID identifies one attempt of one sender incarnation.
type AttemptID struct {
	SenderBoot uint64
	// Sequence is at least 1 and never repeats within one boot of the sender.
	Sequence uint64
}

// Incarnation is one run of one node process.
type Incarnation struct {
	Service, Address string
	BootID           uint64
}

// Answer is the complete answer of one run. It is immutable after Finish.
type Answer struct {
	Status  int
	Headers []*encoder.Header
	Body    []byte
	// Outcome is Ran or Unknown. A caller that could not keep the body passes
	// Unknown, and repeats then get Unknown too.
	Outcome resolver.Outcome
}

// Begin asks for permission to start a run.
type Begin struct {
	ID AttemptID
	// SettledBelow is the sender's watermark: it no longer needs records of
	// sequences below it.
	SettledBelow uint64
	Target       Incarnation
	Kind         string
	// Ticket is nil when the request has none. It takes precedence over Key.
	Ticket *Ticket
	// Key is the plain idempotency key, or empty.
	Key string
}

// Decision is the answer to Begin: Start, Refuse, Replay, Join or Doubt.
//
//sumtype:decl
type Decision interface{ decision() }

// Start permits the run. The caller must end it with Finish or Withdraw.
type Start struct{}

// Refuse says that this attempt was not started and never will be.
type Refuse struct{ Reason resolver.Reason }

// Replay carries the answer of the first run.
type Replay struct{ Answer Answer }

// Join says that Leader is running the same attempt, ticket or key. When the
// leader is withdrawn, the attempts that joined it are void as well.
type Join struct{ Leader AttemptID }

// Doubt says that this gate can't tell whether the request ran. This attempt
// does not start here.
type Doubt struct{ Reason resolver.Reason }

func (Start) decision()  {}
func (Refuse) decision() {}
func (Replay) decision() {}
func (Join) decision()   {}
func (Doubt) decision()  {}

// VoidDecision is the answer to Void: Voided, Running, Done, Settled or Foreign.
//
//sumtype:decl
type VoidDecision interface{ voidDecision() }

// Voided says that the attempt did not start and never will.
type Voided struct{}

// Running says that the run of the attempt has not finished.
type Running struct{}

// Done carries the answer of the run.
type Done struct{ Answer Answer }

// Settled says that the gate no longer knows whether the attempt ran.
type Settled struct{}

// Foreign says that the attempt was meant for another incarnation.
type Foreign struct{}

func (Voided) voidDecision()  {}
func (Running) voidDecision() {}
func (Done) voidDecision()    {}
func (Settled) voidDecision() {}
func (Foreign) voidDecision() {}
