// Package handler is the gate side of a node: it takes Run, Void and Mint from
// other nodes, asks the gate and the admission for a decision, hands admitted
// requests to the backend server and sends the answer back whole. It owns the
// queue of waiting requests and the table of running ones.
package handler
