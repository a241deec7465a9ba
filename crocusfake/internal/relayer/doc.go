// Package relayer implements a TCP relay that injects link faults: it can delay
// data, stop forwarding without closing connections, or close them. It never
// modifies, reorders or duplicates bytes.
package relayer
