package connector

import "time"

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	// Name is unique within one configuration.
	Name string
	// Host is matched regardless of case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if running a request twice does no harm.
	Idempotent bool
	// Timeout is the longest time until a request is answered; 0 means no bound.
	Timeout time.Duration
	// Objective is the target latency: the time within which an answer has its
	// full value; 0 if there is none.
	Objective time.Duration
	// Rank orders routes by importance; 0 is the most important.
	Rank int
	// Open is true if requests need no key where the configuration has organisations.
	Open bool
	// MaxAttempts is the maximum number of upstreams that one request is sent
	// to; at least 1.
	MaxAttempts int
	// Shares holds the services that answer the route, at least one. Every
	// weight is greater than 0.
	Shares []Share
}

// Share is the fraction of a route's requests that a service answers.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the backend servers' health endpoint.
	HealthPath string
	// MaxConnections bounds the connections to one backend server; 0 means no
	// bound.
	MaxConnections int
}

// Limits bounds what a client may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the time from the start of a request to the end of
	// its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client may reuse an idle connection.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is immutable once
// decoded.
type Config struct {
	// Version increases with each configuration; 0 means that there is none.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed is true if requests need the key of an organisation. Organisations is empty
	// otherwise.
	Keyed         bool
	Organisations []Organisation
}

// KeyHash is the SHA-256 of a key.
type KeyHash [32]byte

// Organisation is a party on whose behalf requests come.
type Organisation struct {
	// Name is unique within one configuration.
	Name string
	// Keys holds the hashes of its keys. No two organisations have one in common.
	Keys []KeyHash
	// Ranked is true if Rank is stated. Rank orders organisations by importance; 0 is
	// the most important.
	Ranked bool
	Rank   int
	// RatePerSecond bounds the requests a second over all nodes; 0 means no bound.
	// Burst is the number of requests that may come at once beyond it, at least 0.
	RatePerSecond, Burst float64
}
