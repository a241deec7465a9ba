// Package prover tests the promises of docs/design.md, section 1.1, against
// real node processes under faults. It has no code outside its tests and
// judges by the ledgers of the backend servers and the records of the callers
// alone, never by what a node says about itself.
package prover
