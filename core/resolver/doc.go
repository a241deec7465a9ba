// Package resolver determines the outcome of an attempt and whether a retry is
// allowed. It keeps no state besides the phase of the attempt that the caller
// passes in, and never reports an indeterminate outcome as NotRun.
package resolver
