// Package classifier decides which kind a request is of and how much that kind
// matters. It owns no state: a Table is immutable and built from the release
// in force.
package classifier
