package handler

import (
	"crypto/rand"
	"encoding/hex"

	"crocustack/core/classifier"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
)

func attemptID(m *encoder.AttemptId) gatekeeper.AttemptID {
	return gatekeeper.AttemptID{SenderBoot: m.GetSenderBootId(), Sequence: m.GetSequence()}
}

func incarnation(m *encoder.Incarnation) gatekeeper.Incarnation {
	return gatekeeper.Incarnation{Service: m.GetService(), Address: m.GetAddress(), BootID: m.GetBootId()}
}

// IncarnationMessage returns the incarnation as a protobuf message.
func IncarnationMessage(i gatekeeper.Incarnation) *encoder.Incarnation {
	return &encoder.Incarnation{Service: i.Service, Address: i.Address, BootId: i.BootID}
}

// beginFromMessage converts a Run message for the gate. It returns an error for
// a malformed ticket.
func beginFromMessage(m *encoder.Run) (gatekeeper.BeginRequest, error) {
	b := gatekeeper.BeginRequest{
		ID: attemptID(m.GetId()), SettledBelow: m.GetSettledBelow(), Target: incarnation(m.GetTarget()),
		Kind: m.GetKind(), Key: m.GetKey(),
	}
	if m.GetTicket() == nil {
		return b, nil
	}
	t, err := gatekeeper.TicketFromMessage(m.GetTicket())
	b.Ticket = &t
	return b, err
}

// classOf returns the class of a run. A value out of range counts as the lowest
// class.
func classOf(m *encoder.Run) classifier.Class {
	if m.GetClass() >= classifier.NumClasses {
		return classifier.ClassBulk
	}
	return classifier.Class(m.GetClass())
}

// newSpanID returns a random span ID of 16 hex digits (W3C Trace Context).
func newSpanID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
