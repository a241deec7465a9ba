// Package watcher decides which platform keys this node reads, and when, and
// holds what is known about instances. A Table is immutable and scoped to the
// own failure domain and the services of interest. A Planner decides for each
// key whether to watch it, to wait for the domain's readers or to read alone.
// Client speaks the platform's read protocol; it is the only part that does
// I/O, and nothing else in the package calls it.
package watcher
