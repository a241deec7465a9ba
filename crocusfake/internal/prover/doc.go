// Package prover tests the guarantees of docs/design.md, section 1.1, on real node
// processes under faults. It contains only tests. The tests decide from the ledgers
// of the backend servers and the records of the callers, not from what nodes report
// about themselves.
package prover
