package connector

import (
	"context"
	"io"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// Call is one request to the backend server next to a node.
type Call struct {
	// RequestID names the request.
	RequestID string
	// Instance is the only instance that may run the request; empty for any.
	Instance string
	Method   string
	Host     string
	// Path holds path and query.
	Path    string
	Headers []*encoder.Header
	Body    []byte
	// Parent is what calls of the run carry, so that they can be told to belong
	// to it. Trace is the trace id of the request, 32 hex digits.
	Parent, Trace string
}

// Reply is what came of a call: Answered, NotRun or Lost.
//
//sumtype:decl
type Reply interface{ reply() }

// Answered carries the response of the backend server. Body must be closed. An
// error while it is read, other than io.EOF, means that the response broke off.
type Answered struct {
	Status  int
	Headers []*encoder.Header
	Body    io.ReadCloser
}

// NotRun says that the backend server did not run the request and won't.
type NotRun struct {
	Reason resolver.Reason
	// Draining is true when the backend server said that it takes no new work.
	Draining bool
}

// Lost says that the request may have run.
type Lost struct{ Reason resolver.Reason }

func (Answered) reply() {}
func (NotRun) reply()   {}
func (Lost) reply()     {}

// Backend speaks to the backend server next to a node. It is safe for
// concurrent use.
type Backend interface {
	// Do sends a request once. When ctx ends the request is cancelled.
	Do(ctx context.Context, c Call) Reply
}
