package pipeliner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/bodyreader"
)

// freeAnswerBytes is the part of an answer that is held without a part of the budget
// while the answer waits for its turn, or until its length is known.
const freeAnswerBytes = 4 << 10

// maxFollowedBytes is the length up to which an answer of unknown length is held while
// requests that have begun stand behind it: they lose their answers if it breaks off after
// its beginning was written.
const maxFollowedBytes = 1 << 20

// brokenText is the body of the answer in place of one that broke off.
const brokenText = "may have run: the answer broke off\n"

// exchange is one request and its answer. It implements http.ResponseWriter for the
// handler, which runs on a goroutine of its own.
type exchange struct {
	c        *conn
	req      *http.Request
	previous *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	hold     *bodyreader.Hold
	// ahead is true if the request began before the ones before it were answered.
	ahead bool
	// heavy is true if the connection sends many times as many requests as others.
	heavy bool
	// started is closed when the exchange before it is done: from then on it may write.
	// done is closed when the answer is written or the connection has ended.
	started <-chan struct{}
	done    chan struct{}

	header http.Header
	status int
	// held holds the part of the body that is not written yet.
	held bytes.Buffer
	// committed is true once the head has been written. length is then the stated
	// length, or -1 for chunks, and written the length so far.
	committed       bool
	length, written int64
}

// closedChannel is closed from the start: nobody waits for it.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newExchange(c *conn, req *http.Request, previous *exchange, hold *bodyreader.Hold) *exchange {
	x := &exchange{c: c, req: req, hold: hold, started: closedChannel, done: make(chan struct{}), header: make(http.Header)}
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	if previous != nil {
		x.previous, x.started = previous, previous.done
	}
	return x
}

// run serves the request and writes the answer.
func (x *exchange) run(req *http.Request) {
	defer x.end()
	defer func() {
		cause := recover()
		switch {
		case cause == nil:
		case cause == http.ErrAbortHandler && !x.committed && x.ctx.Err() == nil && x.replace() == nil:
		default:
			// The handler has logged it. An answer that ends early must not look
			// complete.
			x.abort()
		}
	}()
	x.c.s.cfg.Handler.ServeHTTP(x, req)
	if err := x.complete(); err != nil {
		x.abort()
	}
}

// replace answers in place of an answer that broke off before any of it was written, so
// that the requests behind it keep theirs.
func (x *exchange) replace() error {
	x.header = http.Header{"Content-Type": {"text/plain"}}
	x.status = http.StatusBadGateway
	x.held.Reset()
	x.held.WriteString(brokenText)
	return x.complete()
}

// abort ends the connection, once the answers before this one are written. What was
// written still reaches the client.
func (x *exchange) abort() {
	<-x.started
	if x.committed && x.length < 0 && !x.chunked() {
		x.c.reset() // Otherwise the end of the connection would complete the answer.
		return
	}
	x.c.endReading()
	x.c.cancel()
}

// end ends the exchange, whatever became of it.
func (x *exchange) end() {
	<-x.started // An answer may not be taken for the one before it.
	x.cancel()
	x.hold.Release()
	x.c.s.releaseWork()
	c := x.c
	c.mu.Lock()
	c.outstanding--
	c.aheadStopped = false
	if c.phase == phaseIdle {
		c.phaseSince = time.Now()
	}
	last := c.noMore && c.outstanding == 0
	c.mu.Unlock()
	if last {
		c.endReading()
	}
	x.previous = nil
	close(x.done)
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. As that of net/http, it panics if the
// status has not three digits; the connection is then closed without an answer.
func (x *exchange) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid status %d", status))
	}
	if x.status == 0 && status >= http.StatusOK {
		x.status = status
	}
}

// SetReadDeadline is called through http.ResponseController. Nothing but the body is
// read while a request has a body that is not complete.
func (x *exchange) SetReadDeadline(t time.Time) error { return x.c.SetReadDeadline(t) }

// Write implements http.ResponseWriter.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.committed {
		return len(b), x.writeBody(b)
	}
	if grown := x.held.Len() + len(b); grown <= freeAnswerBytes || x.mustHold(grown) && x.hold.TryGrow(int64(len(b))) {
		x.held.Write(b)
		return len(b), nil
	}
	if err := x.commit(-1); err != nil {
		return 0, err
	}
	return len(b), x.writeBody(b)
}

// mustHold reports whether the beginning of the answer, of the given length, must be held
// for now: before its turn, or because requests that have begun stand behind it and it may
// still break off.
func (x *exchange) mustHold(length int) bool {
	if !x.mayWrite() {
		return true
	}
	if x.header.Get("Content-Length") != "" {
		return false // The whole answer is at hand.
	}
	return x.c.stopAhead(x) && length <= maxFollowedBytes
}

// stopAhead lets no further request begin until x is answered, and reports whether one has
// begun behind it already.
func (c *conn) stopAhead(x *exchange) (followed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadStopped = true
	return c.last != x
}

// mayWrite reports whether all answers before this one are written.
func (x *exchange) mayWrite() bool {
	select {
	case <-x.started:
		return true
	default:
		return false
	}
}

// complete writes what is left of the answer.
func (x *exchange) complete() error {
	x.WriteHeader(http.StatusOK)
	if !x.committed {
		if err := x.commit(int64(x.held.Len())); err != nil {
			return err
		}
	}
	switch {
	case x.length < 0 && x.chunked():
		return x.c.write([]byte("0\r\n\r\n"))
	case x.length >= 0 && x.written != x.length && !x.bodiless():
		return errors.Newf("answer of %d bytes has a stated length of %d", x.written, x.length)
	}
	return nil
}

// bodiless reports whether the answer has no body whatever its headers say (RFC 9112,
// section 6.3).
func (x *exchange) bodiless() bool {
	return x.req.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
}

// chunked reports whether an answer without a stated length is sent in chunks. For an
// old client it ends with the connection.
func (x *exchange) chunked() bool { return x.req.ProtoAtLeast(1, 1) && !x.bodiless() }

// commit waits for the turn of the answer and writes its head with what is held. known
// is the length of the body, or -1 if it is not known.
func (x *exchange) commit(known int64) error {
	select {
	case <-x.started:
	case <-x.ctx.Done():
		<-x.started
	}
	if err := x.ctx.Err(); err != nil {
		return err
	}
	x.committed, x.length = true, known
	if text := x.header.Get("Content-Length"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.Wrap(err, "Content-Length")
		}
		x.length = n
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", x.status, http.StatusText(x.status))
	x.setFraming()
	_ = x.header.Write(&head) // A bytes.Buffer returns no error.
	head.WriteString("\r\n")
	held := x.held.Bytes()
	if x.bodiless() {
		held = nil
	}
	if x.length < 0 && x.chunked() && len(held) > 0 {
		fmt.Fprintf(&head, "%x\r\n%s\r\n", len(held), held)
	} else {
		head.Write(held)
	}
	x.written += int64(len(held))
	x.held = bytes.Buffer{}
	return x.c.write(head.Bytes())
}

// setFraming sets the headers that say where the answer and the connection end.
func (x *exchange) setFraming() {
	x.header.Del("Content-Length")
	x.header.Del("Transfer-Encoding")
	switch {
	case x.status == http.StatusNoContent:
	case x.length >= 0:
		x.header.Set("Content-Length", strconv.FormatInt(x.length, 10))
	case x.chunked():
		x.header.Set("Transfer-Encoding", "chunked")
	}
	closes := strings.EqualFold(x.header.Get("Connection"), "close") || x.req.Close || !x.req.ProtoAtLeast(1, 1) || x.c.s.stopping.Load()
	if body, ok := x.req.Body.(*requestBody); ok && !body.complete() {
		closes = true
	}
	x.header.Del("Connection")
	if x.c.closeAfter(x, closes) {
		x.header.Set("Connection", "close")
	}
}

// closeAfter records that no further request may begin if closes is true. It reports
// whether the answer to x closes the connection: the one to the last request that has
// begun does.
func (c *conn) closeAfter(x *exchange, closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore = c.noMore || closes
	return c.noMore && c.last == x
}

// writeBody writes a part of the body of an answer whose head is written.
func (x *exchange) writeBody(b []byte) error {
	if x.bodiless() || len(b) == 0 {
		return nil
	}
	x.written += int64(len(b))
	switch {
	case x.length >= 0 && x.written > x.length:
		return http.ErrContentLength
	case x.length < 0 && x.chunked():
		return x.writeChunks(b)
	}
	return x.c.write(b)
}

// maxChunk is the length of the largest chunk, which is written at a time with its size.
const maxChunk = writeBytes - len("ffff\r\n\r\n")

// writeChunks writes a part of a body in chunks. Only one of them is copied at a time: a
// client that reads slowly keeps it waiting.
func (x *exchange) writeChunks(b []byte) error {
	buffer := make([]byte, 0, min(len(b), maxChunk)+writeBytes-maxChunk)
	for len(b) > 0 {
		n := min(len(b), maxChunk)
		if err := x.c.write(fmt.Appendf(buffer, "%x\r\n%s\r\n", n, b[:n])); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// requestBody is the body of a request. The handler reads it; the connection waits for
// its end.
type requestBody struct {
	io.ReadCloser
	x *exchange
	// expects is true while the client waits for an interim answer before it sends the
	// body.
	expects bool
	// ended is closed at the end of the body or of the exchange.
	ended <-chan struct{}
	end   context.CancelFunc
	whole atomic.Bool
}

func newRequestBody(c *conn, x *exchange, req *http.Request, hasBody bool) *requestBody {
	b := &requestBody{ReadCloser: req.Body, x: x, ended: closedChannel, end: func() {}}
	b.whole.Store(!hasBody)
	if !hasBody {
		return b
	}
	b.expects = strings.EqualFold(req.Header.Get("Expect"), "100-continue")
	ended, end := context.WithCancel(c.ctx)
	b.ended, b.end = ended.Done(), end
	go func() {
		<-x.done
		end()
	}()
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expects {
		b.expects = false
		if err := b.x.c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole.Store(true)
		b.end()
	}
	return n, err
}

// Close implements io.Closer. What is left of the body ends the connection.
func (b *requestBody) Close() error { return nil }

// complete reports whether the body was read to its end.
func (b *requestBody) complete() bool { return b.whole.Load() }
