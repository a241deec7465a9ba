package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/resolver"
	"crocustack/core/router"
)

const (
	// spareTickets is the number of additional tickets per fetch. They are cached
	// so that a later request needs no round trip for its ticket.
	spareTickets = 16
	mintTimeout  = 2 * time.Second
)

// ticketBlock holds the cached tickets of one kind. All are of the same
// upstream.
type ticketBlock struct {
	tickets []gatekeeper.Ticket
	// expires is a time on this node's clock: half of the tickets' lifetime after
	// the fetch, so that the caller still has the other half to use a ticket.
	expires time.Duration
}

// ticketCache holds fetched tickets for later callers. It is safe for
// concurrent use.
type ticketCache struct {
	mu sync.Mutex
	// blocks is keyed by kind. Expired entries stay until they are replaced or
	// dropped, but are not used.
	blocks map[string]ticketBlock
}

func newTicketCache() *ticketCache { return &ticketCache{blocks: make(map[string]ticketBlock)} }

// take removes and returns n tickets of a kind, or nil when fewer are cached.
func (m *ticketCache) take(now time.Duration, kind string, n int) []gatekeeper.Ticket {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.blocks[kind]
	if now >= s.expires || len(s.tickets) < n {
		return nil
	}
	taken := s.tickets[:n:n]
	s.tickets = s.tickets[n:]
	m.blocks[kind] = s
	return taken
}

func (m *ticketCache) put(kind string, s ticketBlock) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocks[kind] = s
}

// drop removes the tickets of an upstream that is leaving or gone.
func (m *ticketCache) drop(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, s := range m.blocks {
		if len(s.tickets) > 0 && s.tickets[0].Home.Address == address {
			delete(m.blocks, kind)
		}
	}
}

// Tickets returns n tickets for a kind, all of one upstream, and their
// lifetime. It returns an error when no upstream issued enough tickets.
func (f *Forwarder) Tickets(ctx context.Context, service, kind string, n int) ([]gatekeeper.Ticket, time.Duration, error) {
	if ts := f.tickets.take(f.clock.Now(), kind, n); ts != nil {
		return ts, f.cfg.TicketLifetime / 2, nil
	}
	var excluded []string
	var last error
	for range maxMintAttempts {
		d, ok := f.router.Pick(f.clock.Now(), service, excluded, rand.Uint64()).(router.Chosen)
		if !ok {
			break
		}
		ts, lifetime, err := f.fetchTickets(ctx, d.Upstream.Address, service, kind, n+spareTickets)
		if err == nil && len(ts) >= n {
			f.tickets.put(kind, ticketBlock{tickets: ts[n:], expires: f.clock.Now() + lifetime/2})
			return ts[:n:n], lifetime, nil
		}
		last = err
		excluded = append(excluded, d.Upstream.Address)
	}
	if last == nil {
		last = errors.Newf("no upstream of %s gave a ticket for %s", service, kind)
	}
	return nil, 0, last
}

const maxMintAttempts = 3

// fetchTickets asks one upstream for n tickets. It may return fewer.
func (f *Forwarder) fetchTickets(ctx context.Context, address, service, kind string, n int) ([]gatekeeper.Ticket, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	l, err := f.links.Get(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	s, err := l.OpenStream(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer l.EndExchange()
	defer func() { _ = s.Close() }()
	defer bindStream(ctx, s, time.Now().Add(mintTimeout))()
	request := &encoder.Request{Message: &encoder.Request_Mint{Mint: &encoder.Mint{Service: service, Kind: kind, Count: uint32(n)}}}
	if err := s.Send(request); err != nil {
		return nil, 0, err
	}
	reply := &encoder.MintReply{}
	if err := s.Receive(reply); err != nil {
		return nil, 0, err
	}
	tickets := make([]gatekeeper.Ticket, 0, len(reply.GetTickets()))
	for _, t := range reply.GetTickets() {
		ticket, err := gatekeeper.TicketFromMessage(t)
		if err != nil {
			return nil, 0, err
		}
		tickets = append(tickets, ticket)
	}
	return tickets, time.Duration(reply.GetLifetimeSeconds()) * time.Second, nil
}

// sendVoid asks the gate of the target incarnation to void an attempt. When the
// attempt has already ended there, the stored answer is passed to the sink.
func (f *Forwarder) sendVoid(ctx context.Context, run *encoder.Run, sink *trackingSink) resolver.Event {
	target := run.GetTarget()
	l, err := f.links.Get(ctx, target.GetAddress())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return resolver.VoidForeign{} // No process listens there any more.
	case err != nil:
		return resolver.VoidFailed{}
	}
	if l.Peer().GetIncarnation().GetBootId() != target.GetBootId() {
		return resolver.VoidForeign{}
	}
	s, err := l.OpenStream(ctx)
	if err != nil {
		return resolver.VoidFailed{}
	}
	defer l.EndExchange()
	defer func() { _ = s.Close() }()
	deadline, _ := ctx.Deadline()
	defer bindStream(ctx, s, deadline)()
	request := &encoder.Request{Message: &encoder.Request_Void{Void: &encoder.Void{Id: run.GetId(), Target: target}}}
	if err := s.Send(request); err != nil {
		return resolver.VoidFailed{}
	}
	reply := &encoder.VoidReply{}
	if err := s.Receive(reply); err != nil {
		return resolver.VoidFailed{}
	}
	switch reply.GetResult() {
	case encoder.VoidResult_VOID_RESULT_VOIDED:
		return resolver.VoidVoided{}
	case encoder.VoidResult_VOID_RESULT_RUNNING:
		return resolver.VoidRunning{}
	case encoder.VoidResult_VOID_RESULT_DONE:
		return f.receiveStored(s, run, sink)
	case encoder.VoidResult_VOID_RESULT_SETTLED:
		return resolver.VoidSettled{}
	case encoder.VoidResult_VOID_RESULT_FOREIGN:
		return resolver.VoidForeign{}
	default:
		return resolver.VoidFailed{}
	}
}
