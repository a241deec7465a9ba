package handler

import (
	"fmt"
	"time"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

// observedState is the state that the backend server stated last.
type observedState struct {
	connector.ServerState
	// instance is the instance that stated it, and at the time of its answer.
	instance string
	at       time.Duration
}

// with returns the state after the answer to a request of an instance that was
// sent at the given time. Answers can overtake each other, so that only the answer
// to a request that was sent after the last statement withdraws it.
func (s observedState) with(now, sent time.Duration, instance string, state connector.ServerState) observedState {
	none := state == connector.ServerState{}
	withdraws := none || s.Leaving && !state.Leaving
	switch {
	case withdraws && sent <= s.at:
		return s
	case none:
		return observedState{}
	default:
		return observedState{state, instance, now}
	}
}

// observeState applies what the backend server shows of itself in the reply to a request
// that was sent at the given time.
func (h *Handler) observeState(m *encoder.Run, sent time.Duration, reply connector.Reply) {
	var state connector.ServerState
	switch r := reply.(type) {
	case connector.Answered:
		state = r.State
	case connector.NotRun:
		if r.Reason == resolver.ReasonInstanceReplaced && h.cfg.OnOtherInstance != nil {
			h.cfg.OnOtherInstance(m.GetInstance())
		}
		state = r.State
		if state == (connector.ServerState{}) {
			return // Not every refusal comes from the backend server.
		}
	case connector.Unknown:
		return
	}
	h.stateMu.Lock()
	before := h.state.ServerState
	h.state = h.state.with(h.clock.Now(), sent, m.GetInstance(), state)
	after := h.state.ServerState
	h.stateMu.Unlock()
	h.admission.observeRate(sent, state.RateLimited, state.RateLimit)
	if after != before {
		h.record(m, recorder.KindState, nil, stateText(after))
	}
}

// serverLeaving reports whether an instance has stated that it leaves.
func (h *Handler) serverLeaving(instance string) bool {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	return instance != "" && h.state.Leaving && h.state.instance == instance
}

// stateText describes the state of the backend server for the decision log.
func stateText(s connector.ServerState) string {
	if s == (connector.ServerState{}) {
		return "no limit"
	}
	text := fmt.Sprintf("leaving %t", s.Leaving)
	if s.RateLimited {
		text += fmt.Sprintf(", limit %g/s", s.RateLimit)
	}
	return text
}
