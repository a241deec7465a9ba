// Package timekeeper reads the monotonic clock for the shells around the
// decisions. Deciding functions take the time as an argument instead.
package timekeeper
