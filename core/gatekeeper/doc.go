// Package gatekeeper enforces at-most-once execution: it decides whether the
// gate of a node, its receiving side, may start a run, so that no attempt,
// ticket or idempotency key runs twice on one incarnation.
//
// Gate owns the attempt records and the watermark of every sender, the tickets
// that it minted, the idempotency keys in use and the answers stored for
// repeats. Sequencer owns the attempt sequence of a sender and its settled
// watermark.
//
// The package never executes, sends or waits for requests, and it never reports
// "not run" for an attempt that it might still start. It has no clock: the
// caller passes the monotonic time of its process.
package gatekeeper
