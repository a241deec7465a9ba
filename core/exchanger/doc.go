// Package exchanger sends requests to a backend server over HTTP/1.1 and reads the
// responses. It decides which response answers a request, whether a response is
// complete, and whether a connection can be used again. It owns the connections to one
// address. It never sends a request twice and knows nothing of what a response means.
package exchanger
