// Package linker maintains the links to other nodes. A link is a yamux session
// over TCP with a control stream, which starts with a handshake. A link on which
// nothing arrives while exchanges are pending is probed and then closed. The
// package owns the table of links. It never decides what the loss of a link
// means for a request.
package linker
