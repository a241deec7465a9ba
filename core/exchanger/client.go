package exchanger

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
	"crocustack/core/resolver"
)

const (
	// inlineBytes is the body size up to which a request is written before the
	// response is awaited. Such a request fits into the socket buffers.
	inlineBytes = 16 << 10
	// endedTimeout bounds the wait for a connection that is refused or accepted.
	endedTimeout = 200 * time.Millisecond
)

// Request is a request to the backend server.
type Request struct {
	connector.Call
	// Header holds all headers but Content-Length and DeadlineHeader, in place of
	// Call.Headers, and is changed by Do.
	Header http.Header
	// DeadlineHeader is the name of the header that states the milliseconds until the
	// deadline of the context.
	DeadlineHeader string
	// ID identifies the exchange, and IDHeader is the header in which the response states
	// it. A response that states none is accepted only as the first one of a connection,
	// which then carries no other request. If ID is empty, no response can state it.
	ID, IDHeader string
}

// Response is the response to a request. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
}

// errUnsent means that no connection was available, so that nothing was sent.
var errUnsent = errors.New("no connection to the backend server")

// Client sends requests to the backend server at one address. It is safe for concurrent
// use.
type Client struct{ pool *pool }

// Config describes how a backend server is reached.
type Config struct {
	Address string // host:port
	// TLS is nil for plain TCP. It must name the server.
	TLS *tls.Config
	// IdleTime is how long an idle connection is kept if the backend server does not
	// state its idle timeout.
	IdleTime time.Duration
}

// New returns a client of a backend server. It opens no connection.
func New(cfg Config) *Client { return &Client{newPool(cfg)} }

// Address returns the host:port of the backend server.
func (c *Client) Address() string { return c.pool.cfg.Address }

// Close closes the idle connections. Requests in flight are not affected.
func (c *Client) Close() { c.pool.close() }

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return len(c.pool.idle)
}

// Do sends a request once. The request is cancelled when ctx ends.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.pool.get(ctx, r.ID)
	if err != nil {
		return nil, errors.Mark(err, errUnsent)
	}
	x := &exchange{pool: c.pool, conn: cn, fresh: cn.carried.empty(), written: make(chan error, 1)}
	cn.carried.add(time.Now(), r.ID, deadlineOf(ctx))
	// Closing the connection tells the backend server of the cancellation.
	x.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := x.run(ctx, r)
	if err != nil {
		x.stop()
		_ = cn.Close()
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: &Body{exchange: x, resp: resp}}, nil
}

// deadlineOf returns the deadline of ctx; the zero time if it has none.
func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// Ended reports whether the process of the backend server has ended: nothing listens at
// its address. A connection that is accepted serves the next request.
func (c *Client) Ended(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	cn, err := c.pool.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.pool.put(cn, 0)
	return false
}

// Failure returns the reply for an error that Do returned.
func Failure(ctx context.Context, err error) connector.Reply {
	unsent := errors.Is(err, errUnsent)
	switch {
	case ctx.Err() != nil && unsent:
		return connector.NotRun{Reason: cancelReason(ctx)}
	case ctx.Err() != nil:
		return connector.Unknown{Reason: cancelReason(ctx)}
	case unsent:
		return connector.NotRun{Reason: resolver.ReasonBackendUnreachable}
	}
	return connector.Unknown{Reason: resolver.ReasonBackendLost}
}

// cancelReason returns the reason for which the context ended.
func cancelReason(ctx context.Context) resolver.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return resolver.ReasonDeadlineExceeded
	}
	return resolver.ReasonCancelled
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool *pool
	conn *conn
	// fresh is true when the connection has carried no other request.
	fresh bool
	// stop unregisters the function that closes the connection when the context
	// ends.
	stop func() bool
	// written receives the result of writing the request.
	written chan error
}

func (x *exchange) run(ctx context.Context, r Request) (*http.Response, error) {
	if r.BodyLength() <= inlineBytes {
		x.written <- write(ctx, x.conn.w, r)
	} else {
		go x.writeLong(ctx, r)
	}
	return x.response(r)
}

// errSenderLeft means that a body that was streamed has broken off.
var errSenderLeft = errors.New("the sender left before the end of the request body")

// writeLong writes a request while its response is awaited. If its body breaks off, no
// response is worth waiting for.
func (x *exchange) writeLong(ctx context.Context, r Request) {
	err := write(ctx, x.conn.w, r)
	if errors.Is(err, errSenderLeft) {
		_ = x.conn.Close()
	}
	x.written <- err
}

// write writes a request. It writes the target as the client sent it, which
// http.Request.Write does not.
func write(ctx context.Context, w *bufio.Writer, r Request) error {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		r.Header[r.DeadlineHeader] = []string{strconv.FormatInt(left, 10)}
	}
	if length := r.BodyLength(); length > 0 || bodyExpected(r.Method) {
		r.Header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	// Errors of a bufio.Writer stay until Flush.
	_, _ = w.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\n")
	_ = r.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	var streamed error
	if r.Stream != nil {
		_, streamed = io.CopyN(w, r.Stream, r.StreamLength)
	}
	if err := w.Flush(); err != nil {
		return err // Also that of a write in CopyN.
	}
	if streamed != nil {
		return errSenderLeft
	}
	return nil
}

// bodyExpected reports whether servers expect a length with requests of a method
// (RFC 9110, section 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
