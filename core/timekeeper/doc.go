// Package timekeeper reads the monotonic clock for the code that performs I/O
// around the decision logic. Functions that make decisions take the time as an
// argument instead.
package timekeeper
