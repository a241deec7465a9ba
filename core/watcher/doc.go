// Package watcher decides which platform keys this node reads, and when, and
// holds the known instances. A Table is immutable and limited to the node's own
// failure domain and the services of interest. A Planner decides for each key
// whether the node watches it, receives it from the readers of its domain, or
// reads it directly because no reader is known to be alive. Client implements
// the platform's read protocol; it is the only part that does I/O, and nothing
// else in the package calls it.
package watcher
