package connector

import (
	"context"
	"time"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// Inbound is one request as received from a client or from the local backend
// server. It is immutable once decoded.
type Inbound struct {
	// ID identifies the request; every attempt of a client has its own.
	ID string
	// Parent is the id of the request that the backend server was running when
	// it made this call; empty for requests of clients.
	Parent string
	// Key is the key of an organisation that the sender states, or empty. It is never
	// passed on.
	Key string
	// Identity is what the dispatcher has found out about the sender.
	Identity Identity
	// Heavy is true if the sender has sent many times as many requests lately as others.
	// Where there is too little room, those of others come first.
	Heavy bool
	// Caller is the service that the sender belongs to.
	Caller string
	Host   string
	Method string
	// Path is the path alone. Target is the path with the query, as received.
	Path, Target string
	// Headers holds the headers to forward to the backend server.
	Headers []*encoder.Header
	Body    []byte
	// Budget is how long the client waits, counted from Arrived; 0 if the client
	// did not state it.
	Budget  time.Duration
	Arrived time.Time
}

// Identity is on whose behalf a request comes.
type Identity struct {
	// Keyed is true if the configuration has organisations. The adapter then passes on
	// neither keys nor names of organisations that the client sent.
	Keyed bool
	// Organisation is the name of the organisation that holds the client's key, or empty.
	Organisation string
}

// Sink receives the answer to a request. Head is called first and only once.
type Sink interface {
	// Head starts the answer. length is -1 if it is not known yet.
	Head(status int, headers []*encoder.Header, length int64)
	Write(b []byte) error
	// Abort ends an answer that was truncated after Head, so that the client
	// cannot mistake it for a complete one.
	Abort()
}

// Verdict is the result of a request for its client: Delivered, Refused or
// Failed.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Delivered means that the sink received the complete answer of a backend
// server, or the part of it before Abort.
type Delivered struct{}

// Refused means that the request did not run and never will.
type Refused struct {
	Reason resolver.Reason
	// RetryAfter is the time to wait before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
}

// Failed means that the request may have run: its outcome is indeterminate.
type Failed struct{ Reason resolver.Reason }

func (Delivered) verdict() {}
func (Refused) verdict()   {}
func (Failed) verdict()    {}

// Dispatcher handles inbound requests. It is safe for concurrent use.
type Dispatcher interface {
	// Identify decides on whose behalf a request comes, before its body is read. It
	// returns the reason to refuse it, or ReasonNone.
	Identify(in Inbound) (Identity, resolver.Reason)
	Dispatch(ctx context.Context, in Inbound, sink Sink) Verdict
	// Repeatable reports whether the requests of a host and path may run more than once.
	Repeatable(host, path string) bool
	// Limits returns the bounds on what clients may send.
	Limits() Limits
	// Ready reports whether the node is ready to receive requests.
	Ready() bool
	// Leaving reports whether the process is about to exit.
	Leaving() bool
}
