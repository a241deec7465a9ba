package server

import (
	"net/http"
	"strconv"

	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/resolver"
)

// Headers of requests and of the responses to them.
const (
	headerOutcome        = "Crocus-Outcome"
	headerReason         = "Crocus-Reason"
	headerRequest        = "Crocus-Request"
	headerTicket         = "Crocus-Ticket"
	headerAttempt        = "Crocus-Attempt"
	headerTimeout        = "Crocus-Timeout-Ms"
	headerParent         = "Crocus-Parent"
	headerIdempotencyKey = "Idempotency-Key"
	headerTraceparent    = "Traceparent"
	headerRetryAfter     = "Retry-After"
	retryAfterValue      = "1" // Seconds; the smallest delay above 0 that the header can express.
)

// statuses maps the reason for which a request was not run to the HTTP status.
// All other reasons give 503.
var statuses = map[resolver.Reason]int{
	resolver.ReasonUnknownService: http.StatusNotFound,
	resolver.ReasonUnknownKind:    http.StatusNotFound,
	resolver.ReasonBadRequest:     http.StatusBadRequest,
	resolver.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	resolver.ReasonTicketRequired: http.StatusPreconditionRequired,
}

// writeNotRun writes the response to a request that was not run.
func writeNotRun(w http.ResponseWriter, reason resolver.Reason, detail string) {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
		if reason != resolver.ReasonQuarantined { // Returning does not help.
			w.Header().Set(headerRetryAfter, retryAfterValue)
		}
	}
	writeOutcome(w, status, "NotRun", reason, detail)
}

// setTicket sets the ticket for the caller's next attempt. A ticket that cannot
// be encoded is left out; the caller then gets one in the response to its next
// attempt.
func setTicket(w http.ResponseWriter, t gatekeeper.Ticket) {
	if text, err := t.Text(); err == nil {
		w.Header().Set(headerTicket, text)
	}
}

// writeUnknown writes the response to a request that may or may not have run.
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

// responseSink writes a response to the sender of a request. It implements
// forwarder.Sink.
type responseSink struct {
	w        http.ResponseWriter
	headSent bool
}

// Head implements forwarder.Sink.
func (s *responseSink) Head(status int, headers []*encoder.Header, length int64) {
	s.headSent = true
	for _, h := range headers {
		for _, v := range h.Strings() {
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

// Abort implements forwarder.Sink. Panicking with http.ErrAbortHandler is the
// documented way to make net/http close the connection without completing the
// response.
func (s *responseSink) Abort() { panic(http.ErrAbortHandler) }
