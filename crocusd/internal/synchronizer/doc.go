// Package synchronizer keeps the release catalogue and the instance table of a
// node up to date by push and by anti-entropy with peers, and by reads of the
// platform. It carries out the decisions of the packages watcher and spreader
// and publishes the result as an immutable Snapshot. It owns the catalogue, the
// table, the planner and the spreader of one node. Snapshot takes no lock, so
// the request path never waits for it.
package synchronizer
