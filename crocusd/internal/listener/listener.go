package listener

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// Timeouts holds the timeouts after which connections of clients that send
// nothing are closed.
type Timeouts struct {
	// Header is the maximum time to read the headers of a request.
	Header time.Duration
	// Idle is the maximum time between two requests of a connection; 0 means no
	// limit. Header applies from the first bytes of the next request.
	Idle time.Duration
}

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// Serve listens on the address and serves h in the background until the
// returned server is shut down or closed.
func Serve(log logr.Logger, address string, h http.Handler, t Timeouts) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: t.Header, IdleTimeout: t.Idle, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "HTTP listener failed", "Address", address)
		}
	}()
	return s, nil
}
