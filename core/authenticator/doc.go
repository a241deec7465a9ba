// Package authenticator decides on whose behalf a request comes. It owns the directory
// of the organisations and their keys, and how long a node may accept keys without
// having seen that its configuration is current. It never holds a key itself, only its
// hash, and never writes one to a log.
package authenticator
