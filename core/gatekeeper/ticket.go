package gatekeeper

import (
	"encoding/base64"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
)

// Ticket permits one run of a kind on the incarnation that minted it.
type Ticket struct {
	Home   Incarnation
	Kind   string
	Serial uint64
}

// maxTicketText bounds the length of the header text before it is decoded. A
// ticket with a service, address and kind of 200 bytes each fits.
const maxTicketText = 1024

var ticketEncoding = base64.RawURLEncoding.Strict()

// Message returns the ticket as a protobuf message.
func (t Ticket) Message() *encoder.Ticket {
	return &encoder.Ticket{
		Home: &encoder.Incarnation{
			Service: t.Home.Service, Address: t.Home.Address, BootId: t.Home.BootID,
		},
		Kind:   t.Kind,
		Serial: t.Serial,
	}
}

// TicketFromMessage converts a protobuf message to a ticket. It returns an error
// if a field is empty.
func TicketFromMessage(m *encoder.Ticket) (Ticket, error) {
	h := m.GetHome()
	t := Ticket{
		Home:   Incarnation{Service: h.GetService(), Address: h.GetAddress(), BootID: h.GetBootId()},
		Kind:   m.GetKind(),
		Serial: m.GetSerial(),
	}
	if t.Home.Service == "" || t.Home.Address == "" || t.Home.BootID == 0 || t.Kind == "" || t.Serial == 0 {
		return Ticket{}, errors.New("ticket lacks a field")
	}
	return t, nil
}

// Text returns the value of the Crocus-Ticket header.
func (t Ticket) Text() (string, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(t.Message())
	if err != nil {
		return "", errors.Wrap(err, "marshal ticket")
	}
	return ticketEncoding.EncodeToString(b), nil
}

// ParseTicket parses the value of the Crocus-Ticket header.
func ParseTicket(text string) (Ticket, error) {
	if len(text) > maxTicketText {
		return Ticket{}, errors.Newf("ticket text has %d bytes, limit is %d", len(text), maxTicketText)
	}
	b, err := ticketEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, errors.Wrap(err, "decode ticket text")
	}
	var m encoder.Ticket
	if err := proto.Unmarshal(b, &m); err != nil {
		return Ticket{}, errors.Wrap(err, "unmarshal ticket")
	}
	return TicketFromMessage(&m)
}
