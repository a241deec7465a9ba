// Package server takes requests over HTTP: from callers at the entry listener
// and from the node's own backend server at the outbound listener. It checks
// and classifies them, reads their bodies whole and turns outcomes into HTTP
// answers. It owns the buffer budget for bodies and never talks to an upstream
// itself.
package server
