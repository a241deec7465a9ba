// Package soaker runs real nodes of the users' platform as processes on
// loopback, injects faults from outside the processes, and checks the guarantees
// against what clients and backend servers observe. It terminates only processes
// that it started, by process ID.
package soaker
