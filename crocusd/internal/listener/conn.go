package listener

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"crocustack/core/peeker"
)

// phase is what a connection of a client waits for.
type phase int32

const (
	// phaseHead: the head of a request is being read, or the first byte of the first
	// request is awaited.
	phaseHead phase = iota
	// phaseServing: a request is being served.
	phaseServing
	// phaseIdle: the last request was answered and no byte of the next one has come.
	phaseIdle
)

// trackedConn is a connection that knows whether a request has begun on it.
type trackedConn struct {
	net.Conn
	// begun is true when bytes have been read since the last write: a request has
	// begun that is not answered. net/http itself learns of it only some time after
	// its first byte has been read.
	begun atomic.Bool
	phase atomic.Int32
	// since is when the phase began, in Unix nanoseconds.
	since atomic.Int64
}

func (c *trackedConn) enter(p phase, now time.Time) {
	c.since.Store(now.UnixNano())
	c.phase.Store(int32(p))
}

// in returns how long the connection has been in a phase, and whether it is in it.
func (c *trackedConn) in(p phase, now time.Time) (time.Duration, bool) {
	return now.Sub(time.Unix(0, c.since.Load())), phase(c.phase.Load()) == p
}

// quiet reports whether closing the connection cuts off no request that has begun.
func (c *trackedConn) quiet() bool {
	return !c.begun.Load() && peeker.Peek(c.Conn) != peeker.StateUnread
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

// resetOnPanic makes an answer that a handler aborts end with a reset. It must be deferred.
// For a client of HTTP/1.0 an answer without a length ends with the connection, so that
// an orderly end would complete it.
func (c *trackedConn) resetOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails, the connection is closed in order.
	}
	panic(cause)
}

type connKey struct{}

// withConn returns a context that holds the connection, for connOf.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) (*trackedConn, bool) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	return c, ok
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
	tracked.enter(phaseHead, time.Now())
	t.l.add(tracked)
	return tracked, nil
}
