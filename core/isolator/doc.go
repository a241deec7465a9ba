// Package isolator runs work that is driven by bytes from outside the process, so
// that a panic ends this work and not the process. Each panic is logged with its
// stack and counted. The package never repeats work and decides no outcome: the
// state that the work held is put right by its owner.
package isolator
