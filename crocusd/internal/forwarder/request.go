package forwarder

import (
	"time"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/resolver"
)

// Request is one request to a service. It is not changed once built.
type Request struct {
	// ID names the caller's request in logs and ledgers; the calls made for it
	// have ids of their own below it.
	ID      string
	Service string
	Kind    classifier.Kind
	// Class is that of the whole tree, which may differ from the kind's.
	Class  classifier.Class
	TreeID uint64
	Depth  uint32
	// Deadline is on this node's clock; nobody else sees it.
	Deadline time.Time
	// Objective is the time within which an answer has its full value; 0 when
	// there is none.
	Objective time.Duration
	// Pool holds the retries of the tree that this node may hand down; nil
	// when the request may not be retried.
	Pool *budgeter.Pool
	// MaxTries bounds the backend servers that the request reaches; 0 for no
	// bound of its own.
	MaxTries int
	Method   string
	// Host is the Host header, or empty when it doesn't matter.
	Host    string
	Path    string // Path and query below the service, beginning with "/".
	Headers []*encoder.Header
	Body    []byte
	Ticket  *gatekeeper.Ticket
	Key     string
	// Repeat says that the caller has sent the request before.
	Repeat bool
	// First says that the caller stated that it never sent the request before.
	First bool
	// AppliedLevel is the admission level that the tree of a call had to reach
	// where it began.
	AppliedLevel uint32
	// RepeatedTree says that the request belongs to a run that is a repeat.
	RepeatedTree bool
	// Outbound is true for a call of the node's own backend server.
	Outbound bool
	// Parent is the kind of the inbound request of an outbound call, or "".
	Parent string
}

// Sink receives an answer.
type Sink = connector.Sink

// Result is what is known about a request when its loop ends.
type Result struct {
	Outcome resolver.Outcome
	// Upstream is the address of the last upstream that was tried.
	Upstream string
	// Tries is the number of tries that were sent.
	Tries int
	// Begun is true when the sink has been given the head of an answer.
	Begun bool
}
