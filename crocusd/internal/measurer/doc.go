// Package measurer measures the control traffic, processor time and memory of
// fleets of synchronizers in one process. It owns an in-memory network and a
// stand-in of the platform; it decides nothing and is not part of a node.
package measurer
