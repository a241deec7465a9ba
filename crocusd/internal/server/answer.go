package server

import (
	"net/http"
	"strconv"

	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/resolver"
)

// Headers towards callers.
const (
	headerOutcome   = "Crocus-Outcome"
	headerReason    = "Crocus-Reason"
	headerRequest   = "Crocus-Request"
	headerTicket    = "Crocus-Ticket"
	headerAttempt   = "Crocus-Attempt"
	headerTimeout   = "Crocus-Timeout-Ms"
	headerParent    = "Crocus-Parent"
	headerKey       = "Idempotency-Key"
	headerTrace     = "Traceparent"
	headerRetry     = "Retry-After"
	retryAfterValue = "1" // Seconds; the smallest value that the header can state.
)

// statuses gives the HTTP status of a request that was not run, by reason.
// Reasons that are not listed answer 503.
var statuses = map[resolver.Reason]int{
	resolver.ReasonUnknownService: http.StatusNotFound,
	resolver.ReasonUnknownKind:    http.StatusNotFound,
	resolver.ReasonBadRequest:     http.StatusBadRequest,
	resolver.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	resolver.ReasonTicketRequired: http.StatusPreconditionRequired,
}

// writeNotRun answers that the request was not run.
func writeNotRun(w http.ResponseWriter, reason resolver.Reason, detail string) {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
		w.Header().Set(headerRetry, retryAfterValue)
	}
	writeOutcome(w, status, "NotRun", reason, detail)
}

// setTicket names a ticket for the next try of the caller. A ticket that can't
// be written is left out, and the caller gets another one with its next try.
func setTicket(w http.ResponseWriter, t gatekeeper.Ticket) {
	if text, err := t.Text(); err == nil {
		w.Header().Set(headerTicket, text)
	}
}

// writeUnknown answers that the request may or may not have run.
func writeUnknown(w http.ResponseWriter, reason resolver.Reason) {
	writeOutcome(w, http.StatusGatewayTimeout, "Unknown", reason, "the request may or may not have run")
}

func writeOutcome(w http.ResponseWriter, status int, outcome string, reason resolver.Reason, detail string) {
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason.String())
	if detail == "" {
		detail = "the request was not run"
	}
	http.Error(w, outcome+" ("+reason.String()+"): "+detail, status)
}

// responseSink writes an answer to a caller. It implements forwarder.Sink.
type responseSink struct {
	w     http.ResponseWriter
	begun bool
}

// Head implements forwarder.Sink.
func (s *responseSink) Head(status int, headers []*encoder.Header, length int64) {
	s.begun = true
	for _, h := range headers {
		for _, v := range h.GetValues() {
			s.w.Header().Add(h.GetName(), v)
		}
	}
	if length >= 0 {
		s.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.Header().Set(headerOutcome, "Ran")
	s.w.WriteHeader(status)
}

// Write implements forwarder.Sink.
func (s *responseSink) Write(b []byte) error {
	_, err := s.w.Write(b)
	return err
}

// Abort implements forwarder.Sink. The panic is the documented way to make
// net/http close the connection without ending the response.
func (s *responseSink) Abort() { panic(http.ErrAbortHandler) }
