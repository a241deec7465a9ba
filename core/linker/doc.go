// Package linker keeps links to other nodes: one yamux session over TCP for
// each peer, a control stream with a handshake, and probes that find a link
// that went silent. It owns the table of links. It never decides what a lost
// link means for a request.
package linker
