package exchanger

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/headreader"
	"crocustack/core/peeker"
)

// MaxHeadBytes bounds the head of one response.
const MaxHeadBytes = 64 << 10

const (
	// dialTimeout bounds connecting to the backend server on the same machine.
	// If its accept queue is full, the first SYN is dropped and retransmitted
	// after 1 s, so the timeout allows for one retransmission.
	dialTimeout = 1500 * time.Millisecond
	// idleMargin is how long before the idle timeout of the backend server a
	// connection is no longer reused.
	idleMargin = time.Second
	// maxIdleConns bounds the number of idle connections.
	maxIdleConns = 256
	// bufferBytes is the size of the buffers of an idle connection.
	bufferBytes = 4 << 10
	// pruneInterval is the interval at which idle connections are looked through.
	pruneInterval = time.Second
)

// conn is one connection to the backend server.
type conn struct {
	net.Conn // TCP, also below TLS.
	source   headreader.Source
	// r reads from source. Its buffer grows with long heads.
	r *bufio.Reader
	w *bufio.Writer
	// carried holds the requests that the connection has carried.
	carried carried
	// usableUntil is the time until which the connection may be reused. It is
	// set while the connection is idle.
	usableUntil time.Time

	// writeMu is held during each write. writeErr is the first error of one, or nil.
	writeMu  sync.Mutex
	writeErr error
}

// Write implements io.Writer. It keeps the first error for checkEnd.
func (c *conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// readHead reads the head of a response without its body. The method is that of the
// request: it decides whether a body follows.
func (c *conn) readHead(method string) (*http.Response, error) {
	raw, r, err := headreader.Peek(c.r, &c.source, MaxHeadBytes, headreader.ResponseEnd)
	c.r = r
	if err == nil {
		err = headreader.CheckResponse(raw)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	return resp, errors.Wrap(err, "parse response")
}

// checkEnd returns an error unless the end of the stream, which a read has returned, is
// the orderly end by the peer. The kernel reports a reset to one caller only: if that is
// a write, a read returns the end of the stream. The write then fails with ECONNRESET.
// It fails with EPIPE if the peer had ended its side before the reset. checkEnd ends a
// write that is waiting; the connection can only be closed afterwards.
func (c *conn) checkEnd() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end the write")
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return errors.Wrap(c.writeErr, "connection broke before the end of the response")
}

// pool keeps idle connections to one address. It is safe for concurrent use.
type pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the idle connections, least recently used first. On each of
	// them the last request was completely written and its response read.
	idle   []*conn
	closed bool
	// pruning is true while a prune is scheduled.
	pruning bool
}

func newPool(cfg Config) *pool { return &pool{cfg: cfg} }

// get returns a usable idle connection for a request or opens a new one.
func (p *pool) get(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.takeIdle(id)
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.usableUntil) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes the most recently used idle connection, so that the others
// reach their idle timeout. It leaves out connections that have carried the
// request already: a late second copy of the earlier answer has the same ID as
// the next one. A request without an ID takes only one that has carried none. It
// returns nil if there is none.
func (p *pool) takeIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.carried.ambiguous(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to backend server")
	}
	c := &conn{Conn: nc}
	var stream io.ReadWriter = c
	if p.cfg.TLS != nil {
		secure := tls.Client(c, p.cfg.TLS)
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, errors.Wrap(err, "TLS handshake with backend server")
		}
		stream = secure
	}
	c.source.Reader = stream
	c.r, c.w = bufio.NewReaderSize(&c.source, bufferBytes), bufio.NewWriterSize(stream, bufferBytes)
	return c, nil
}

// put returns a connection to the pool. serverTimeout is the idle timeout that
// the backend server stated, or 0.
func (p *pool) put(c *conn, serverTimeout time.Duration) {
	keep := p.cfg.IdleTime
	if serverTimeout > 0 {
		keep = serverTimeout - idleMargin
	}
	if keep <= 0 || c.carried.full() || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	if c.r.Size() > bufferBytes {
		c.r = bufio.NewReaderSize(&c.source, bufferBytes)
	}
	c.usableUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.schedulePrune(keep)
}

// schedulePrune closes the connections that are no longer usable after a time, so that
// they don't hold descriptors until the next burst. The caller holds mu.
func (p *pool) schedulePrune(after time.Duration) {
	if p.pruning {
		return
	}
	p.pruning = true
	time.AfterFunc(after, func() { p.prune(time.Now()) })
}

func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruning = false
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if now.Before(c.usableUntil) {
			return false
		}
		_ = c.Close()
		return true
	})
	if len(p.idle) > 0 && !p.closed {
		p.schedulePrune(pruneInterval)
	}
}

// close closes the idle connections. Connections in use are closed when they
// are returned.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// reusable reports whether an idle connection is open and has no data to read.
// Data that arrives on an idle connection is unsolicited and belongs to no
// request.
func (c *conn) reusable() bool { return peeker.Peek(c.Conn) == peeker.StateEmpty }
