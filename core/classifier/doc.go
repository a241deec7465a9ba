// Package classifier determines the kind of a request and its priority class. It
// has no state: a Table is immutable and built from the active release.
package classifier
