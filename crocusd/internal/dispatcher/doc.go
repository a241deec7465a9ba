// Package dispatcher decides what becomes of a request that came in through a
// platform: its route and service, class, deadline and retries, and what the
// client is told. It owns the table of routes in force. It never speaks to an
// upstream itself.
package dispatcher
