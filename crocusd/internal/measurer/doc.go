// Package measurer measures the control traffic, processor time and memory of
// fleets of synchronizers that run in one process. It provides an in-memory
// network and a simulated platform. It is a benchmark and not part of a node.
package measurer
