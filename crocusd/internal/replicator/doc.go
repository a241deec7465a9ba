// Package replicator keeps the tables of suspected requests of all nodes alike. It
// decides to which peers a node pushes a change and when, and owns what each of them
// has got. It never decides about a request, and sends nothing as long as no
// server has ended while running requests.
package replicator
