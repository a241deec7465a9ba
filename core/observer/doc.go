// Package observer maintains a view of the metadata store: the newest
// configuration and the members. It decides which entries to accept and when an
// entry that the store no longer holds is removed from the view. It starts no
// goroutine, reads no clock and does not access the store itself.
package observer
