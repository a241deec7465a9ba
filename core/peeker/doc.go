// Package peeker looks at what a connection holds without reading it. It owns no
// state and never waits.
package peeker
