package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/peeker"
	"crocustack/core/timekeeper"
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

// Listener is an HTTP listener that can be stopped without cutting off a request
// that has arrived. It is safe for concurrent use.
type Listener struct {
	server *http.Server
	ln     net.Listener

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection that knows whether a request has begun on it.
type trackedConn struct {
	net.Conn
	// begun is true when bytes have been read since the last write: a request has
	// begun that is not answered. net/http itself learns of it only some time after
	// its first byte has been read.
	begun atomic.Bool
}

// Read implements io.Reader.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// Write implements io.Writer.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.begun.Store(false)
	return c.Conn.Write(b)
}

// trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener
	l *Listener
}

// Accept implements net.Listener.
func (t trackingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Serve listens on the address and serves h in the background until the
// returned listener is stopped or closed.
func Serve(log logr.Logger, address string, h http.Handler, t Timeouts) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	l := &Listener{ln: ln, conns: make(map[*trackedConn]struct{})}
	l.server = &http.Server{
		Handler: h, ReadHeaderTimeout: t.Header, IdleTimeout: t.Idle, MaxHeaderBytes: maxHeaderBytes, ConnState: l.recordState,
	}
	go func() {
		if err := l.server.Serve(trackingListener{ln, l}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "HTTP listener failed", "Address", address)
		}
	}()
	return l, nil
}

// recordState forgets a connection that was closed.
func (l *Listener) recordState(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*trackedConn)
	if !ok || s != http.StateClosed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, tracked)
}

// Close closes the listener and all connections at once.
func (l *Listener) Close() error { return l.server.Close() }

const (
	// maxQuietWait bounds the wait of Stop for a moment in which no request has
	// arrived unread.
	maxQuietWait = 300 * time.Millisecond
	// quietPollInterval is the interval between two looks at the connections, and
	// quietLooks the number of looks in a row that must find no request: one can
	// miss a request that a goroutine has just taken from its socket.
	quietPollInterval = 2 * time.Millisecond
	quietLooks        = 3
)

// Stop stops the listener: requests that have arrived are served, then all
// connections are closed. It returns the error of ctx if requests are still being
// served when ctx is done. The handler should answer with "Connection: close" by
// then. Once net/http shuts down, it resets connections that it has not accepted
// and closes those whose request it has not read completely, so Stop first waits
// for a moment without such a request.
func (l *Listener) Stop(ctx context.Context) error {
	quiet, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	for looks := 0; looks < quietLooks && quiet.Err() == nil; looks++ {
		if l.requestsArrived() {
			looks = -1
		}
		timekeeper.Sleep(quiet, quietPollInterval)
	}
	return l.server.Shutdown(ctx)
}

// requestsArrived reports whether a connection waits to be accepted or a request
// has arrived and is not answered.
func (l *Listener) requestsArrived() bool {
	if peeker.Pending(l.ln) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.begun.Load() || peeker.Peek(c.Conn) == peeker.StateUnread {
			return true
		}
	}
	return false
}
