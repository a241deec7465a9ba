// Package runner puts a node together from its settings and runs it until it
// is told to stop: listeners, links, gate, forwarder, synchronizer and admin
// API. It owns the order of start and of graceful stop.
package runner
