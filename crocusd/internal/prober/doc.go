// Package prober polls the health endpoint of the node's own backend server to
// detect that the backend server is draining. It holds no state. The load
// figures of the endpoint are not read, because they lag or are misleading.
package prober
