// Package matcher finds the route of a request and the service that answers
// it. Its table is immutable; it never looks at load.
package matcher
