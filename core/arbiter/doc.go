// Package arbiter decides which of the members listed on a machine is its backend server.
// It holds what the servers themselves have shown of that: a server refuses requests for
// another instance. It never decides whether a server gets requests.
package arbiter
