// Package tracer correlates an outbound call of the backend server with the
// inbound request that it is made for. It holds the table of running requests.
// It never picks one of several: a call that matches more than one running
// request gets the strictest limits of them and no retry.
package tracer
