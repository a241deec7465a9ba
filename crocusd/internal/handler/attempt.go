package handler

import (
	"context"

	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

// begin asks the gate whether the request may run. It returns true when the
// request may proceed to admission control; otherwise it has already answered
// the sender.
func (h *Handler) begin(ctx context.Context, s *linker.Stream, m *encoder.Run, gone <-chan struct{}) bool {
	b, err := beginFromMessage(m)
	if err != nil {
		h.refuse(s, m, resolver.ReasonBadRequest, m.GetAllowance())
		return false
	}
	for {
		decision, leader := h.askGate(b)
		switch d := decision.(type) {
		case gatekeeper.Start:
			return true
		case gatekeeper.Refuse:
			h.refuse(s, m, d.Reason, m.GetAllowance())
			return false
		case gatekeeper.Replay:
			h.record(m, recorder.KindAdmit, resolver.Ran{Status: d.Answer.Status}, "stored answer")
			h.sendStored(s, m.GetId(), d.Answer)
			return false
		case gatekeeper.Indeterminate:
			h.answerUnknown(s, m, d.Reason, nil)
			return false
		case gatekeeper.Join:
			if !waitForLeader(ctx, leader, gone) {
				h.answerUnknown(s, m, resolver.ReasonDeadlineExceeded, nil)
				return false
			}
		}
	}
}

// askGate passes an attempt to the gate. For a Join it returns the channel that
// is closed when the leader ends, or nil when the leader has ended already.
func (h *Handler) askGate(b gatekeeper.BeginRequest) (gatekeeper.Decision, chan struct{}) {
	h.gateMu.Lock()
	defer h.gateMu.Unlock()
	decision := h.gate.Begin(h.clock.Now(), b)
	switch d := decision.(type) {
	case gatekeeper.Start:
		h.finished[b.ID] = make(chan struct{})
	case gatekeeper.Join:
		return d, h.finished[d.Leader]
	case gatekeeper.Refuse, gatekeeper.Replay, gatekeeper.Indeterminate:
	}
	return decision, nil
}

// waitForLeader returns true when the leader ends, and false when ctx is done
// or the joiner's sender disconnects first. A nil leader has ended already.
func waitForLeader(ctx context.Context, leader chan struct{}, gone <-chan struct{}) bool {
	if leader == nil {
		return true
	}
	select {
	case <-leader:
		return true
	case <-ctx.Done():
		return false
	case <-gone:
		return false
	}
}

func (h *Handler) withdraw(m *encoder.Run) {
	h.endAttempt(m, func(id gatekeeper.AttemptID) { h.gate.Withdraw(h.clock.Now(), id) })
}

func (h *Handler) finish(m *encoder.Run, a gatekeeper.Answer) {
	h.endAttempt(m, func(id gatekeeper.AttemptID) { h.gate.Finish(h.clock.Now(), id, a) })
}

// endAttempt changes the gate's record of a running attempt and then wakes the
// requests that wait for it.
func (h *Handler) endAttempt(m *encoder.Run, change func(gatekeeper.AttemptID)) {
	id := attemptID(m.GetId())
	h.gateMu.Lock()
	defer h.gateMu.Unlock()
	change(id)
	if ch, ok := h.finished[id]; ok {
		close(ch)
		delete(h.finished, id)
	}
}

// endAbandoned ends an attempt that neither ran to its end nor was withdrawn: its
// code has panicked. It may have run.
func (h *Handler) endAbandoned(m *encoder.Run) {
	id := attemptID(m.GetId())
	h.gateMu.Lock()
	_, abandoned := h.finished[id]
	h.gateMu.Unlock()
	if abandoned {
		h.finish(m, gatekeeper.Answer{Outcome: resolver.Unknown{Reason: resolver.ReasonBroken}})
	}
}
