// Package router selects the upstream of a service for each attempt. A Router
// owns the lists of upstreams, the subset that this node uses and statistics on
// each upstream, which come from this node's own requests and the answers to
// them. It opens no connections and queries no load endpoints; the caller
// passes the time and random numbers in.
package router
