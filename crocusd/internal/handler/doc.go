// Package handler implements the receiving side of a node, its gate. It serves
// Run, Void and Mint messages from other nodes: it applies the at-most-once
// rules and admission control, sends admitted requests to the backend server
// and returns complete answers. It owns the queue of waiting requests and the
// table of running ones.
package handler
