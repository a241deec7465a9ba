// Package budgeter decides whether a call may be tried again. A Pool holds the
// retry allowance of one node of a call tree; a Ratio bounds the retries to one
// service by its first attempts. Both own only their counters, are safe for
// concurrent use and never read a clock. The package never decides whether a
// retry is safe; that is the task of package resolver.
package budgeter
