package informer

// RouteQuery is a request of which is asked where it would go; it is not sent.
type RouteQuery struct {
	Host, Target string
	// Organisation is the name of the organisation on whose behalf the request would
	// come, or empty.
	Organisation string
}

// Candidate is one upstream of a service at a node.
type Candidate struct {
	Address, Domain, Instance string
	// Local is true if the upstream is in the node's own failure domain.
	Local bool
	// Usable is false for an upstream that leaves or that can't be connected to at
	// present.
	Usable bool
	// Score is the estimated cost of a request; the lower one of two random candidates
	// is chosen. Load is the load as a fraction of the limit, and Failures the recent
	// ratio of failed attempts.
	Score, Load, Failures float64
}

// ServiceRoute is one service that a request may go to.
type ServiceRoute struct {
	Service string
	// Share is the fraction of the route's requests that the service gets.
	Share float64
	// Level is the admission level that the node has heard of for requests of the route.
	// Admitted is the fraction of the requests of the class that it lets pass.
	Level    uint32
	Admitted float64
	// Outbound is the share of the requests for the service that leaves the domain.
	Outbound   float64
	Candidates []Candidate
}

// RouteAnswer is the reply of GET /route.
type RouteAnswer struct {
	// Config is the version of the configuration in force.
	Config int64
	// Refused is the reason for which the request would be refused at once, or "None".
	Refused string
	Route   string `json:",omitempty"`
	Class   string `json:",omitempty"`
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	Services   []ServiceRoute `json:",omitempty"`
}
