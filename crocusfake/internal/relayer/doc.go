// Package relayer is a TCP relay with link faults: it forwards, delays, goes
// silent without closing, or closes. It owns the connections through it. It
// never changes, reorders or repeats bytes.
package relayer
