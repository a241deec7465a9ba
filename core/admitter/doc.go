// Package admitter implements the admission control of a gate: it decides which
// requests are passed to the backend server, which are queued and which are
// shed. An Admitter holds the concurrency limit, the queue and the admission
// level of one node; Levels holds the levels that other services reported. The
// package reads no clock, starts no goroutine and calls no health endpoint: it
// observes the backend server only through the latency and the refusals of the
// requests that it admitted.
package admitter
