// Package worker is a stand-in for a backend server: it runs requests in a
// fixed number of slots, calls other services through its node and keeps a
// ledger of every run. It owns its slots, switches and ledger. It decides only
// whether to refuse a request before running it, never retries and never
// corrects what the node sends.
package worker
