// Package router decides which upstream of a service an attempt is sent to. A
// Router owns the lists of upstreams, the subset that this node uses and what
// this node has learned about each upstream from its own requests and the
// answers to them. It opens no connection, reads no clock and no load endpoint,
// and draws no random number itself.
package router
