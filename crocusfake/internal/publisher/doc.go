// Package publisher is a stand-in for the platform's configuration service: a
// read-only HTTP store with versions, long-poll watches and a rate limit over
// all readers. It owns the values, their history and the read counts. It
// decides nothing for the nodes and never checks the values that it serves.
package publisher
