// Package composer builds and runs a node on the users' platform. It connects
// the platform's ingress, store and backend server to the same forwarder,
// handler and links that package runner uses. It owns sockets, shutdown and
// goroutines, and makes no decisions about requests.
package composer
