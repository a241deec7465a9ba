package connector

import (
	"context"
	"time"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// Inbound is one request as it came in from a client or from the backend
// server next door. It is not changed once decoded.
type Inbound struct {
	// ID names the request; every attempt of a client has its own.
	ID string
	// Parent is the id of the request that the backend server was running when
	// it made this call; empty for requests of clients.
	Parent string
	Host   string
	Method string
	// Path is the path alone, and Target the path with the query as sent.
	Path, Target string
	// Headers holds what is passed on to the backend server.
	Headers []*encoder.Header
	Body    []byte
	// Budget is how long the client waits from Arrived on; 0 when it didn't say.
	Budget  time.Duration
	Arrived time.Time
}

// Sink receives the answer to a request. Head comes first and once.
type Sink interface {
	// Head starts the answer. length is -1 when it is not known yet.
	Head(status int, headers []*encoder.Header, length int64)
	Write(b []byte) error
	// Abort ends an answer that broke off after Head, so that the client can't
	// take it for whole.
	Abort()
}

// Verdict is what a client is told: Delivered, Refused or Failed.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Delivered says that the sink got the whole answer of a backend server, or the
// part of it that there was before Abort.
type Delivered struct{}

// Refused says that the request did not run and never will.
type Refused struct {
	Reason resolver.Reason
	// RetryAfter is when to come back; 0 when coming back doesn't help.
	RetryAfter time.Duration
}

// Failed says that the request may have run.
type Failed struct{ Reason resolver.Reason }

func (Delivered) verdict() {}
func (Refused) verdict()   {}
func (Failed) verdict()    {}

// Dispatcher takes the requests that come in. It is safe for concurrent use.
type Dispatcher interface {
	Dispatch(ctx context.Context, in Inbound, sink Sink) Verdict
	// Limits returns the bounds on what clients may send.
	Limits() Limits
	// Ready tells whether the node wants to be given requests.
	Ready() bool
	// Leaving tells whether the process ends soon.
	Leaving() bool
}
