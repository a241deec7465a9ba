// Package matcher finds the route of a request and selects the service that
// answers it. Routing tables are immutable, and load plays no part.
package matcher
