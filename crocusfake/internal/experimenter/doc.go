// Package experimenter starts a platform, backend servers, relays and real
// node processes, runs one experiment with them and returns its results. It
// owns the processes that it starts and ends exactly those. It never corrects
// or filters what callers and ledgers recorded.
package experimenter
