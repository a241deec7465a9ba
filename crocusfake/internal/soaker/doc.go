// Package soaker runs real nodes of the users' platform as processes on
// loopback, injects faults from outside them, and judges the promises by what
// clients and backend servers see. It owns the processes that it starts and ends
// only those, by their ids.
package soaker
