package connector

import (
	"context"
	"io"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// Call is one request to the local backend server.
type Call struct {
	// RequestID identifies the request.
	RequestID string
	// Instance is the only instance that may run the request; empty for any.
	Instance string
	Method   string
	Host     string
	// Path holds the path and the query.
	Path    string
	Headers []*encoder.Header
	Body    []byte
	// Stream is the body of StreamLength bytes where it is not at hand; nil if Body
	// is the body. It can be read once. A read error means that the sender has left.
	Stream       io.Reader
	StreamLength int64
	// Parent identifies the run. Outbound calls of the run carry it, so that
	// they can be attributed to the run. Trace is the trace id of the request,
	// 32 hex digits.
	Parent, Trace string
}

// BodyLength returns the length of the body.
func (c Call) BodyLength() int64 {
	if c.Stream != nil {
		return c.StreamLength
	}
	return int64(len(c.Body))
}

// Reply is the result of a call: Answered, NotRun or Unknown.
//
//sumtype:decl
type Reply interface{ reply() }

// Answered carries the response of the backend server. Body must be closed. A
// read error other than io.EOF means that the response is truncated.
type Answered struct {
	Status  int
	Headers []*encoder.Header
	Body    io.ReadCloser
	State   ServerState
}

// NotRun means that the backend server did not run the request and never will.
type NotRun struct {
	Reason resolver.Reason
	// Draining is true if the backend server reported that it takes no new work.
	Draining bool
	State    ServerState
}

// Unknown means that the request may have run: its outcome is indeterminate.
type Unknown struct{ Reason resolver.Reason }

func (Answered) reply() {}
func (NotRun) reply()   {}
func (Unknown) reply()  {}

// Backend is a client of the local backend server. It is safe for concurrent
// use.
type Backend interface {
	// Do sends a request once. The request is cancelled when ctx ends.
	Do(ctx context.Context, c Call) Reply
	// Ended reports whether the process of the backend server has ended: nothing
	// listens at its address.
	Ended(ctx context.Context) bool
}
