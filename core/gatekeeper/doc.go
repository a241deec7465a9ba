// Package gatekeeper decides whether the gate of a node may start a run, so
// that no attempt, ticket or key runs twice on one incarnation.
//
// Gate owns the attempt records and the watermark of every sender, the tickets
// that it minted, the keys that it has seen and the answers kept for repeats.
// Sequencer owns the attempt sequence of a sender and its settled watermark.
//
// The package never runs, sends or waits for anything, and it never reports
// "not run" for an attempt that it might still start. It has no clock: the
// caller passes the monotonic time of its own process.
package gatekeeper
