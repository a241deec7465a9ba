package gatekeeper

import (
	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// AttemptID identifies one attempt of one sender incarnation.
type AttemptID struct {
	SenderBoot uint64
	// Sequence is at least 1 and never reused by the same sender incarnation.
	Sequence uint64
}

// Incarnation identifies one node process from its start to its exit.
type Incarnation struct {
	Service, Address string
	BootID           uint64
}

// Answer is the complete answer of one run. It must not be modified after it was
// passed to Finish.
type Answer struct {
	Status  int
	Headers []*encoder.Header
	Body    []byte
	// Outcome is Ran or Unknown. A caller that could not buffer the body passes
	// Unknown, and repeats then get Unknown too.
	Outcome resolver.Outcome
}

// BeginRequest describes an attempt for which permission to start is requested.
type BeginRequest struct {
	ID AttemptID
	// SettledBelow is the sender's watermark: the sender no longer needs records
	// of lower sequences.
	SettledBelow uint64
	Target       Incarnation
	Kind         string
	// Ticket is nil if the request has none. It takes precedence over Key.
	Ticket *Ticket
	// Key is the idempotency key, or empty.
	Key string
}

// Decision is the result of Gate.Begin: Start, Refuse, Replay, Join or
// Indeterminate.
//
//sumtype:decl
type Decision interface{ decision() }

// Start permits the run. The caller must end it with Finish or Withdraw.
type Start struct{}

// Refuse means that the attempt was not started and never will be.
type Refuse struct{ Reason resolver.Reason }

// Replay holds the answer of the first run.
type Replay struct{ Answer Answer }

// Join means that Leader is running with the same attempt ID, ticket or key. If
// the leader is withdrawn, the attempts that joined it become void as well.
type Join struct{ Leader AttemptID }

// Indeterminate means that this gate can't determine whether the request ran.
// The attempt does not start here.
type Indeterminate struct{ Reason resolver.Reason }

func (Start) decision()         {}
func (Refuse) decision()        {}
func (Replay) decision()        {}
func (Join) decision()          {}
func (Indeterminate) decision() {}

// VoidDecision is the result of Gate.Void: Voided, Running, Done, Settled or
// Foreign.
//
//sumtype:decl
type VoidDecision interface{ voidDecision() }

// Voided means that the attempt was not started and never will be.
type Voided struct{}

// Running means that the run of the attempt has not finished.
type Running struct{}

// Done holds the answer of the run.
type Done struct{ Answer Answer }

// Settled means that the gate no longer knows whether the attempt ran.
type Settled struct{}

// Foreign means that the attempt was addressed to another incarnation.
type Foreign struct{}

func (Voided) voidDecision()  {}
func (Running) voidDecision() {}
func (Done) voidDecision()    {}
func (Settled) voidDecision() {}
func (Foreign) voidDecision() {}
