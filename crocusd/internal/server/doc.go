// Package server serves HTTP requests: those of callers at the entry listener
// and those of the node's own backend server at the outbound listener. It
// validates and classifies them, buffers their bodies completely and maps
// outcomes to HTTP responses. It holds the buffer budget for bodies and sends
// nothing to upstreams itself.
package server
