// Package observer keeps what the store said: the newest configuration and the
// members. It decides which entries count and when a vanished entry is taken
// as gone. It has no goroutine and no clock, and never reads the store itself.
package observer
