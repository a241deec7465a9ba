// Package forwarder sends a request to an upstream of the wanted service and
// brings the answer back whole. It runs the loop over tries: the router chooses,
// the resolver concludes, the budgets allow or deny another try. It owns the
// sequence of this sender's tries and the cached tickets; it never decides on
// its own that a request was not run.
package forwarder
