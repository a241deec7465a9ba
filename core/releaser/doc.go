// Package releaser decides which release notes are accepted and what is in
// force. A Note is accepted or rejected on its own content alone. A Catalogue
// is the mergeable state: a map from item to stamp and value or tombstone,
// joined by the higher stamp. A View is the read side for the request path.
// All values are immutable; the package reads no files, clocks or sockets and
// never consults the predecessor of a note to accept it.
package releaser
