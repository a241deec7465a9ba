// Package judger compares the ledgers of backend servers with the outcomes
// reported to callers and counts the breaches of promises P1, P3, P4 and P5.
// It has no state and no tolerance: a single breach fails a verdict.
package judger
