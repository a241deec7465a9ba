package listener

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// Timeouts frees connections of clients that send nothing.
type Timeouts struct {
	// Header bounds the time until the headers of a request are read.
	Header time.Duration
	// Idle bounds the time between two requests; 0 sets no other bound than Header.
	Idle time.Duration
}

// Serve listens on the address and serves h until the server is shut down or
// closed.
func Serve(log logr.Logger, address string, h http.Handler, t Timeouts) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: t.Header, IdleTimeout: t.Idle}
	go func() {
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "HTTP listener failed", "Address", address)
		}
	}()
	return s, nil
}
