// Package composer puts a node together that runs on the users' platform: the
// platform's requests, store and backend server around the same forwarder,
// handler and links as in package runner. It owns sockets, signals and
// goroutines, and decides nothing about a request.
package composer
