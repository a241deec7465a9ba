// Package tracer ties an outbound call of the backend server to the inbound
// request that it is made for. It owns the table of running requests and never
// guesses: a call that fits two running requests gets the stricter limits of
// both and no retry.
package tracer
