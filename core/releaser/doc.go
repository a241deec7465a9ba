// Package releaser validates release notes and merges them into the active
// configuration. A Note is accepted or rejected on its own content only; its
// predecessor is never consulted. A Catalogue is the mergeable state: a map
// from item name to a stamp and a value or tombstone, in which the higher stamp
// wins. A View is a read-only index of a catalogue for the request path. All
// values are immutable, and the package reads no files, clocks or sockets.
package releaser
