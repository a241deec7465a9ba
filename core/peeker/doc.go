// Package peeker looks at what a connection holds without reading it. It owns no state.
package peeker
