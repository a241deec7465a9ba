// Package publisher is a stand-in for the platform's configuration service: an
// HTTP key-value store, read-only for nodes, with versions, long-poll watches
// and a rate limit shared by all readers. It counts reads and does not validate
// the values that it serves.
package publisher
