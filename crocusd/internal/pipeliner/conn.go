package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/bodyreader"
	"crocustack/core/headreader"
	"crocustack/core/peeker"
)

const (
	// maxAhead bounds the requests of a connection that are in work at one time.
	maxAhead = 8
	// smallHead is the size of the buffer in which most heads fit.
	smallHead = 4 << 10
	// fieldBytes is the memory that one header field takes on its way through the node.
	fieldBytes = 1 << 10
	// freeHeadBytes is the memory for a parsed head that needs no part of the budget.
	freeHeadBytes = 64 << 10
	// writeBytes is the most that is written at a time. A connection is closed if that
	// takes longer than maxWriteTime.
	writeBytes   = 16 << 10
	maxWriteTime = 15 * time.Second
	// lingerTime and lingerBytes bound what is read and discarded after the last answer:
	// closing a connection with unread bytes would reset it and destroy the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// goneInterval is the interval at which the node checks whether a client has left
	// while nothing is read from it.
	goneInterval = 50 * time.Millisecond
)

// conn is one connection of a client. One goroutine reads; answers are written by the
// exchange whose turn it is.
type conn struct {
	net.Conn
	s *Server
	// ctx ends when the connection is closed or its client has left.
	ctx    context.Context
	cancel context.CancelFunc
	br     *bufio.Reader
	source headreader.Source

	// writingSince is when the current write began, in Unix nanoseconds; 0 if there is
	// none.
	writingSince atomic.Int64

	mu sync.Mutex
	// last is the request that began last; nil before the first.
	last *exchange
	// outstanding is the number of requests that have begun and are not answered.
	outstanding int
	// aheadStopped is true while the end of the answer whose turn it is is not known. No
	// request begins behind it: it could lose its answer if that one broke off.
	aheadStopped bool
	// noMore is true once no further request may begin.
	noMore bool
	phase  phase
	// phaseSince is when the phase began or, for phaseIdle, the last answer was written.
	phaseSince time.Time
	// usage tells how many requests have begun lately. heavy is true if these were many
	// times as many as on other connections; no request is then sent ahead.
	usage usage
	heavy bool
	// answered holds a value when an answer was written.
	answered chan struct{}
}

// phase is what the reading side of a connection waits for.
type phase int

const (
	phaseFirst phase = iota // The first byte of the first request.
	phaseHead               // The rest of a head.
	phaseIdle               // The next request, or the turn of the one that was read.
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, smallHead) }}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.finish()
	for c.readRequest() {
	}
}

// finish waits for the answers that are left and closes the connection.
func (c *conn) finish() {
	c.mu.Lock()
	c.noMore = true
	last := c.last
	c.mu.Unlock()
	if last != nil {
		c.await(last.done)
	}
	c.linger()
	c.cancel()
	_ = c.Close()
	if c.br != nil && c.br.Size() == smallHead {
		c.br.Reset(nil)
		readers.Put(c.br)
	}
	c.s.forget(c)
}

// linger discards what the client still sends, for a short time.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// await waits until done is closed. It ends the requests of a client that has left.
func (c *conn) await(done <-chan struct{}) {
	select {
	case <-done:
		return
	default:
	}
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if peeker.HungUp(c.Conn) {
				c.cancel()
			}
		}
	}
}

// readRequest reads one request and begins it. It returns false when no further one is
// to be read.
func (c *conn) readRequest() bool {
	if !c.awaitBytes() {
		return false
	}
	raw, br, err := headreader.Peek(c.br, &c.source, c.s.headLimit(), headreader.RequestEnd)
	c.br = br
	if err != nil {
		if errors.Is(err, headreader.ErrTooLong) {
			c.refuse(http.StatusRequestHeaderFieldsTooLarge, err)
		} else {
			c.cancel() // The client has left.
		}
		return false
	}
	h, err := headreader.CheckRequest(raw)
	if err != nil {
		c.refuse(http.StatusBadRequest, err)
		return false
	}
	hold := c.s.cfg.Budget.Hold()
	if cost := int64(h.Bytes + fieldBytes*h.Fields); cost > freeHeadBytes && !hold.TryGrow(cost) {
		c.refuse(http.StatusServiceUnavailable, errors.New("not run: no memory for the head of the request"))
		return false
	}
	req, err := http.ReadRequest(c.br)
	if err != nil {
		hold.Release()
		c.refuse(http.StatusBadRequest, err)
		return false
	}
	return c.begin(req, h, hold)
}

// awaitBytes waits for the first byte of a request. An idle connection holds no buffer.
func (c *conn) awaitBytes() bool {
	if c.br != nil && c.br.Buffered() > 0 {
		return c.enterHead()
	}
	if c.br != nil && c.br.Size() == smallHead {
		c.br.Reset(nil)
		readers.Put(c.br)
	}
	c.br = nil
	first := make([]byte, 1)
	if _, err := io.ReadFull(&c.source, first); err != nil {
		if !c.ending() {
			c.cancel() // Also the requests that are in work: nobody waits for them.
		}
		return false
	}
	c.source.Unread(first)
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(&c.source)
	return c.enterHead()
}

// ending reports whether the last answer, which closes the connection, is written.
func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMore && c.outstanding == 0
}

// enterHead records that a head begins. It returns false if no further request may
// begin.
func (c *conn) enterHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseSince = phaseHead, time.Now()
	return !c.noMore
}

// begin begins a request as soon as it may, and waits for its body to be read. It
// returns false when no further request is to be read.
func (c *conn) begin(req *http.Request, h headreader.Request, hold *bodyreader.Hold) bool {
	early := !h.HasBody && c.s.cfg.Early(req)
	x, ok := c.register(req, early, hold)
	if !ok {
		hold.Release()
		return false
	}
	if !c.s.awaitWork(x.ahead) {
		c.abandon(x)
		c.refuse(http.StatusServiceUnavailable, errors.New("not run: too many requests in work"))
		return false
	}
	body := newRequestBody(c, x, req, h.HasBody)
	req.Body, req.RemoteAddr = body, c.RemoteAddr().String()
	go x.run(req.WithContext(withHeavy(x.ctx, x.heavy)))
	if !h.HasBody {
		return !req.Close
	}
	// The rest of the body stands before the next request.
	c.await(body.ended)
	return body.complete() && !req.Close
}

// register records a request that begins. It waits until the request may begin: a
// request that may not run twice, or that has a body, only when all before it are
// answered.
func (c *conn) register(req *http.Request, early bool, hold *bodyreader.Hold) (*exchange, bool) {
	for {
		c.mu.Lock()
		c.phase, c.phaseSince = phaseIdle, time.Now()
		if c.noMore || c.ctx.Err() != nil {
			c.mu.Unlock()
			return nil, false
		}
		if c.outstanding == 0 || early && !c.heavy && !c.aheadStopped && c.outstanding < maxAhead && c.s.roomAhead() {
			x := newExchange(c, req, c.last, hold)
			x.ahead = c.outstanding > 0
			c.heavy = c.s.countRequest(&c.usage)
			x.heavy = c.heavy
			c.last = x
			c.outstanding++
			c.mu.Unlock()
			return x, true
		}
		c.mu.Unlock()
		c.await(c.answered)
	}
}

// abandon takes back a request that has not begun.
func (c *conn) abandon(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = x.previous
	c.outstanding--
	x.hold.Release()
}

// refuse answers a request that was not read or will not run, and ends the connection.
func (c *conn) refuse(status int, cause error) {
	c.mu.Lock()
	c.noMore = true
	last := c.last
	c.mu.Unlock()
	if last != nil {
		c.await(last.done)
	}
	text := cause.Error() + "\n"
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_ = c.write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\n" + retry +
		"Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text))
}

// write writes to the client. Only the exchange whose turn it is may call it.
func (c *conn) write(b []byte) error {
	defer c.writingSince.Store(0)
	for len(b) > 0 {
		if err := c.ctx.Err(); err != nil {
			return err
		}
		n := min(len(b), writeBytes)
		c.writingSince.Store(time.Now().UnixNano())
		if _, err := c.Write(b[:n]); err != nil {
			c.cancel()
			return err
		}
		b = b[n:]
	}
	return nil
}

// endReading makes the reading side end the connection.
func (c *conn) endReading() {
	c.mu.Lock()
	c.noMore = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0)) // If this fails, so does the read.
}

// reset closes the connection so that its client sees an error.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails, the close below is a plain one.
	}
	c.end()
}

// end closes the connection at once.
func (c *conn) end() {
	c.cancel()
	_ = c.Close()
}
