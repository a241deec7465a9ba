package forwarder

import (
	"time"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/quarantiner"
	"crocustack/core/resolver"
)

// Request is one request to a service. It is immutable once built.
type Request struct {
	// ID identifies the caller's request in logs and ledgers. The calls made for
	// it have IDs of their own that are derived from it.
	ID      string
	Service string
	Kind    classifier.Kind
	// Class is the class of the whole call tree, which may differ from that of
	// the kind.
	Class  classifier.Class
	TreeID uint64
	Depth  uint32
	// Deadline is a time on this node's clock and never sent to other nodes.
	Deadline time.Time
	// Objective is the target latency: the time within which an answer has its
	// full value; 0 for none.
	Objective time.Duration
	// Pool holds the retry allowance of the call tree that is available here; nil
	// when the request may not be retried.
	Pool *budgeter.Pool
	// MaxAttempts bounds the attempts that may reach a backend server; 0 for no
	// bound besides the retry budgets.
	MaxAttempts int
	// Organisation is the name of the organisation on whose behalf the tree runs, or
	// empty.
	Organisation string
	// Caller is the service that the caller belongs to, or empty if it is not known.
	Caller string
	Method string
	// Host is the Host header, or empty when it is irrelevant.
	Host    string
	Path    string // Path and query below the service, beginning with "/".
	Headers []*encoder.Header
	Body    []byte
	// stated describes a body that is longer than handler.MaxUnstatedBody.
	stated *quarantiner.StatedBody
	Ticket *gatekeeper.Ticket
	Key    string
	// Repeat is true when the caller has sent the request before.
	Repeat bool
	// First is true when the caller stated that it has not sent the request
	// before.
	First bool
	// AppliedLevel is the admission level that was applied to the call tree at its
	// root.
	AppliedLevel uint32
	// RepeatedTree is true when the request belongs to a run that is a retry.
	RepeatedTree bool
	// Outbound is true for a call of the node's own backend server.
	Outbound bool
	// Parent is the kind of the inbound request for which an outbound call is
	// made, or "".
	Parent string
}

// identity returns what identifies the request to a backend server.
func (q *Request) identity() quarantiner.Identity {
	return quarantiner.Identity{Caller: q.Caller, Method: q.Method, Host: q.Host, Target: q.Path, Body: q.Body, Stated: q.stated}
}

// Sink receives the answer to a request.
type Sink = connector.Sink

// Result describes how a request ended.
type Result struct {
	Outcome resolver.Outcome
	// Upstream is the address of the upstream of the last attempt.
	Upstream string
	// Attempts is the number of attempts that were sent.
	Attempts int
	// HeadSent is true when the sink has received the head of an answer.
	HeadSent bool
}
