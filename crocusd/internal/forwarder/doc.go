// Package forwarder sends requests to upstreams and delivers their answers to a
// sink. For each request it runs the retry loop: the router chooses an upstream
// for each attempt, the resolver derives the outcome, and the retry budgets
// allow or deny another attempt. The package owns the attempt sequence of this
// sender and the ticket cache. That a request was not run is decided by the
// resolver alone, never here.
package forwarder
