// Package budgeter decides whether a call may be retried. A Pool holds the retry
// allowance of one node of a call tree, a Ratio bounds the retries to one service
// by its first attempts, and a Window bounds them in every sliding window. None
// of them reads a clock; Pool and Ratio are safe for concurrent use. Whether a
// retry is safe is decided by package resolver.
package budgeter
