// Package judger compares the ledgers of backend servers with what callers
// were told and counts the breaches of promises P1, P3, P4 and P5. It owns no
// state and has no tolerance: one breach is a breach.
package judger
