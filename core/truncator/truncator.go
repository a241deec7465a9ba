// Package truncator is a stand-in for servers whose responses stop midway. It owns no
// state and decides nothing.
package truncator

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// maxRequest is the longest request that is read before the response.
const maxRequest = 4096

// Each calls try for each beginning of a response, from one byte up to the whole. The
// server at address, a host:port, answers one request with the first n bytes and closes
// the connection in order.
func Each(response string, try func(address string, n int)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer func() { _ = l.Close() }()
	for n := 1; n <= len(response); n++ {
		go answer(l, response[:n])
		try(l.Addr().String(), n)
	}
	return nil
}

// answer answers one request. Its client judges what it gets, errors included.
func answer(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	_, _ = c.Read(make([]byte, maxRequest))
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}
