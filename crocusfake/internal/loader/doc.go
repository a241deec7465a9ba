// Package loader is a stand-in for callers: an open-loop load generator that
// sends requests at given rates whether or not earlier ones were answered,
// optionally repeats failed ones and records the answers. Every HTTP request is
// recorded as a separate attempt, so that a repeat never hides a failure.
package loader
