// Package runner builds a node from its settings and runs it until it is
// stopped: listeners, links, gate, forwarder, synchronizer and admin API. It
// defines the order of start-up and of graceful shutdown.
package runner
