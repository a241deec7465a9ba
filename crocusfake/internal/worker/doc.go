// Package worker is a stand-in for a backend server: it runs requests in a
// fixed number of slots, calls other services through its node and records
// every run in a ledger. Its speed, pauses and draining can be changed while it
// runs. It may refuse a request before running it, but it never retries calls
// and never corrects requests or answers that it receives from the node.
package worker
