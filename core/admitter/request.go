package admitter

import (
	"time"

	"crocustack/core/classifier"
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// ID is unique among the requests that are queued or in flight.
	ID    uint64
	Class classifier.Class
	// Kind selects the latency baseline. Requests without a kind share one.
	Kind string
	// Depth is the depth of the call in its tree: 0 for the request that began
	// the tree, 1 for the calls that it makes, and so on.
	Depth  uint32
	TreeID uint64
	// AppliedLevel is the admission level that was applied to the tree at the
	// node where it began. It gives the share of trees that was refused there.
	AppliedLevel uint32
	// Deadline is the time after which the answer is useless; 0 for none.
	Deadline time.Duration
	// LastChoice is true if the sender has no other upstream to try. Only such a
	// request waits for the rate limit of the backend server.
	LastChoice bool
}

// Result describes how an admitted request ended.
type Result struct {
	Latency time.Duration
	// Refused: the backend server rejected the request without running it.
	Refused bool
	// Cancelled: the caller cancelled the request or the deadline passed. The
	// latency is not sampled, since the request would have taken longer.
	Cancelled bool
	// Failed: the backend server answered with an error. The latency is not
	// sampled, since errors are often faster than successful answers.
	Failed bool
}

// Load is the state that a node reports to its peers.
type Load struct {
	InFlight, Queued, Limit int
	Level                   uint32
	// RateLevel is the level for requests that have no other upstream, at least
	// Level.
	RateLevel uint32
	// RateLimit is the rate limit of the backend server in requests a second, or 0
	// for none. RateLoad is the rate of arrivals as a fraction of it.
	RateLimit, RateLoad float64
}

type running struct {
	class    classifier.Class
	latency  *latencyStats
	kind     string
	inFlight int // Number in flight at the admission, this request included.
}
