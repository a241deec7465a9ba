// Package dispatcher processes requests that arrive through a platform adapter.
// It determines route, service, class, deadline and retry allowance of a
// request, passes it to a forwarder and turns the outcome into the verdict for
// the client. It owns the active route table and never contacts an upstream
// itself.
package dispatcher
