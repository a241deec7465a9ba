// Package synchronizer keeps the release catalogue and the instance table of a
// node up to date. It runs the decisions of watcher and spreader over links to
// peers and reads of the platform, and publishes the result as an immutable
// Snapshot. It owns the catalogue, the table, the planner and the spreader of
// one node. It never blocks the request path: readers load a pointer.
package synchronizer
