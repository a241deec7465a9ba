// Package prober watches the health endpoint of the node's own backend server
// for one thing only: that it is draining. It owns no state. Load figures of
// the endpoint lag or mislead and are not read.
package prober
