package handler

import (
	"time"

	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/resolver"
)

func (h *Handler) serveMint(s *linker.Stream, m *encoder.Mint) {
	reply := &encoder.MintReply{LifetimeSeconds: uint32(h.cfg.Gate.TicketLifetime.Seconds())}
	if m.GetService() == h.self.Service && !h.Draining() {
		h.gateMu.Lock()
		tickets := h.gate.Mint(h.clock.Now(), m.GetKind(), int(min(m.GetCount(), maxMintCount)))
		h.gateMu.Unlock()
		for _, t := range tickets {
			reply.Tickets = append(reply.Tickets, t.Message())
		}
	}
	_ = s.Send(reply)
}

// maxMintCount bounds the number of tickets that one Mint message may request.
const maxMintCount = 256

// voidWait bounds how long a Void for a running attempt waits for the attempt
// to end. Waiting gives the sender the final answer without a second Void.
const voidWait = 10 * time.Second

func (h *Handler) serveVoid(s *linker.Stream, m *encoder.Void) {
	id := attemptID(m.GetId())
	target := incarnation(m.GetTarget())
	timer := time.NewTimer(voidWait)
	defer timer.Stop()
	gone := senderGone(s)
	for {
		h.gateMu.Lock()
		decision := h.gate.Void(h.clock.Now(), id, target)
		end := h.finished[id]
		h.gateMu.Unlock()
		if _, ok := decision.(gatekeeper.Running); ok && end != nil {
			select {
			case <-end:
				continue
			case <-gone:
				return
			case <-timer.C:
			}
		}
		h.sendVoidReply(s, m, decision)
		return
	}
}

func (h *Handler) sendVoidReply(s *linker.Stream, m *encoder.Void, d gatekeeper.VoidDecision) {
	switch d := d.(type) {
	case gatekeeper.Voided:
		_ = s.Send(&encoder.VoidReply{Result: encoder.VoidResult_VOID_RESULT_VOIDED})
	case gatekeeper.Running:
		_ = s.Send(&encoder.VoidReply{Result: encoder.VoidResult_VOID_RESULT_RUNNING})
	case gatekeeper.Done:
		if err := s.Send(&encoder.VoidReply{Result: encoder.VoidResult_VOID_RESULT_DONE}); err != nil {
			return
		}
		h.sendStored(s, m.GetId(), d.Answer)
	case gatekeeper.Settled:
		_ = s.Send(&encoder.VoidReply{Result: encoder.VoidResult_VOID_RESULT_SETTLED})
	case gatekeeper.Foreign:
		_ = s.Send(&encoder.VoidReply{Result: encoder.VoidResult_VOID_RESULT_FOREIGN})
	}
}

// storedLoad returns the load report for a stored answer. Only what stays true is
// reported: the answer may be old.
func (h *Handler) storedLoad() *encoder.Load {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	return &encoder.Load{Draining: h.Draining(), ServerLeaving: h.state.Leaving}
}

// sendStored sends an answer that the gate has stored.
func (h *Handler) sendStored(s *linker.Stream, id *encoder.AttemptId, a gatekeeper.Answer) {
	head := &encoder.Answer{Id: id, Load: h.storedLoad(), Responder: IncarnationMessage(h.self)}
	switch o := a.Outcome.(type) {
	case resolver.Ran:
		head.Outcome, head.Status = encoder.Outcome_OUTCOME_RAN, uint32(a.Status)
		head.Headers, head.BodyLength = a.Headers, int64(len(a.Body))
		sendComplete(s, head, a.Body, 0)
		return
	case resolver.NotRun:
		head.Outcome, head.Reason = encoder.Outcome_OUTCOME_NOT_RUN, uint32(o.Reason)
	case resolver.Unknown:
		head.Outcome, head.Reason = encoder.Outcome_OUTCOME_UNKNOWN, uint32(o.Reason)
	}
	_ = s.Send(head)
}

// senderGone returns a channel that is closed when the sender closes the stream
// or the link breaks.
func senderGone(s *linker.Stream) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_ = s.Receive(&encoder.Chunk{})
	}()
	return gone
}
