package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/peeker"
	"crocustack/core/timekeeper"
)

// Bounds holds what clients may use of a listener. 0 means no bound.
type Bounds struct {
	// Header is the maximum time to read the head of a request.
	Header time.Duration
	// Idle is the maximum time between two requests of a connection. Header applies
	// from the first bytes of the next request.
	Idle time.Duration
	// Connections is the maximum number of connections. Beyond it, those that have
	// been idle longest are closed first, then those whose head has been awaited
	// longest.
	Connections int
}

// Fixed returns a function that returns the same bounds each time.
func Fixed(b Bounds) func() Bounds { return func() Bounds { return b } }

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// Listener is an HTTP listener that can be stopped without cutting off a request
// that has arrived. It is safe for concurrent use.
type Listener struct {
	server *http.Server
	ln     net.Listener

	bounds func() Bounds
	// stopped is closed when the server has ended.
	stopped chan struct{}

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*trackedConn]struct{}
}

// Serve listens on the address and serves h in the background until the
// returned listener is stopped or closed. It reads bounds again and again, so that
// they can change meanwhile.
func Serve(log logr.Logger, address string, h http.Handler, bounds func() Bounds) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	l := &Listener{ln: ln, bounds: bounds, stopped: make(chan struct{}), conns: make(map[*trackedConn]struct{})}
	l.server = &http.Server{Handler: servingPhase(h), MaxHeaderBytes: maxHeaderBytes, ConnState: l.recordState, ConnContext: withConn}
	go func() {
		defer close(l.stopped)
		// Serve itself waits out errors of Accept such as a lack of descriptors.
		if err := l.server.Serve(trackingListener{ln, l}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "HTTP listener failed", "Address", address)
		}
	}()
	go l.sweepLoop()
	return l, nil
}

// servingPhase marks the connection of a request as being served.
func servingPhase(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := connOf(r.Context()); ok {
			c.enter(phaseServing, time.Now())
			if !r.ProtoAtLeast(1, 1) {
				defer c.resetOnPanic()
			}
		}
		h.ServeHTTP(w, r)
		if c, ok := connOf(r.Context()); ok {
			// net/http still reads what is left of the body, however long that takes.
			c.enter(phaseHead, time.Now())
		}
	})
}

// sweepInterval bounds how long after its time a connection is closed.
const sweepInterval = 100 * time.Millisecond

func (l *Listener) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case now := <-ticker.C:
			l.sweep(now)
		}
	}
}

// sweep closes the connections that have been idle, or whose head has been awaited,
// for longer than allowed.
func (l *Listener) sweep(now time.Time) {
	b := l.bounds()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		idle, isIdle := c.in(phaseIdle, now)
		head, isHead := c.in(phaseHead, now)
		if isIdle && b.Idle > 0 && idle > b.Idle && c.quiet() || isHead && b.Header > 0 && head > b.Header {
			_ = c.Close()
		}
	}
}

// add records a new connection and, if there are too many, closes one: the longest
// idle one, else the one whose head has been awaited longest, else the new one.
func (l *Listener) add(c *trackedConn) {
	most := l.bounds().Connections
	l.mu.Lock()
	defer l.mu.Unlock()
	if most > 0 && len(l.conns) >= most {
		victim := l.longest(phaseIdle)
		if victim == nil {
			victim = l.longest(phaseHead)
		}
		if victim == nil {
			victim = c // All others are being served.
		}
		delete(l.conns, victim)
		_ = victim.Close()
		if victim == c {
			return
		}
	}
	l.conns[c] = struct{}{}
}

// longest returns the connection that has been longest in a phase without a request
// that has begun, or nil. The caller holds mu.
func (l *Listener) longest(p phase) *trackedConn {
	now := time.Now()
	var longest *trackedConn
	most := time.Duration(-1)
	for c := range l.conns {
		if d, ok := c.in(p, now); ok && d > most && (p != phaseIdle || c.quiet()) {
			longest, most = c, d
		}
	}
	return longest
}

// recordState records the phase of a connection and forgets one that was closed.
func (l *Listener) recordState(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		tracked.enter(phaseHead, time.Now())
	case http.StateIdle:
		tracked.enter(phaseIdle, time.Now())
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, tracked)
	case http.StateNew:
	}
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
