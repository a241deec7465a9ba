package handler

import (
	"fmt"
	"time"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/recorder"
)

// observeState applies what the backend server states in the reply to a request
// that was sent at the given time.
func (h *Handler) observeState(m *encoder.Run, sent time.Duration, reply connector.Reply) {
	var state connector.ServerState
	switch r := reply.(type) {
	case connector.Answered:
		state = r.State
	case connector.NotRun:
		state = r.State
		if state == (connector.ServerState{}) {
			return // Not every refusal comes from the backend server.
		}
	case connector.Unknown:
		return
	}
	h.stateMu.Lock()
	before := h.state
	h.state = state
	h.stateMu.Unlock()
	h.admission.observeRate(sent, state.RateLimited, state.RateLimit)
	if state != before {
		h.record(m, recorder.KindState, nil, stateText(state))
	}
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
