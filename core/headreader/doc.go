// Package headreader reads the heads of HTTP/1.1 messages from a connection and checks
// them before a parser sees them. It refuses whatever a parser would repair, drop, or read
// in another way than the sender. It owns no state and never decides what becomes of a
// message that it refuses.
package headreader
