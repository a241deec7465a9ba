package linker

import (
	"net"
	"sync"
	"time"
)

// batchBytes bounds the bytes that are buffered for the next write. When the
// buffer is full, Write blocks, as it does on a full socket buffer.
const batchBytes = 64 << 10

// batchConn coalesces writes: it buffers them and writes the buffer with one
// system call. The session writes each frame on its own, and frames of many
// exchanges are written at about the same time. A write error is returned by the
// next call of Write.
type batchConn struct {
	net.Conn
	// writeTimeout bounds one system call.
	writeTimeout time.Duration

	mu sync.Mutex
	// changed is signalled when buffered, err or closed changes.
	changed sync.Cond
	// buffered holds the bytes that are not yet being written: at most
	// batchBytes, or one larger piece.
	buffered []byte
	err      error
	closed   bool
}

func newBatchConn(conn net.Conn, writeTimeout time.Duration) *batchConn {
	c := &batchConn{Conn: conn, writeTimeout: writeTimeout}
	c.changed.L = &c.mu
	go c.flushLoop()
	return c
}

// Write copies b to the buffer. It blocks while the buffer is full.
func (c *batchConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffered) > 0 && len(c.buffered)+len(b) > batchBytes && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case c.closed:
		return 0, net.ErrClosed
	}
	c.buffered = append(c.buffered, b...)
	c.changed.Broadcast()
	return len(b), nil
}

// SetWriteDeadline does nothing: a deadline set by the writer would end a system
// call that began later. Each system call has writeTimeout instead.
func (c *batchConn) SetWriteDeadline(time.Time) error { return nil }

// ResetOnClose makes Close discard the data that the kernel has not sent yet and
// reset the connection. The kernel would otherwise go on sending it for minutes.
func (c *batchConn) ResetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails, Close still closes the connection.
	}
}

// Close closes the connection and discards the buffered bytes.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// flushLoop writes the buffered bytes until the connection fails or is closed.
func (c *batchConn) flushLoop() {
	var spare []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.buffered) == 0 && !c.closed {
			c.changed.Wait()
		}
		if c.closed {
			return
		}
		batch := c.buffered
		c.buffered = spare[:0]
		c.mu.Unlock()
		err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		if err == nil {
			_, err = c.Conn.Write(batch)
		}
		c.mu.Lock()
		spare = batch
		c.changed.Broadcast()
		if err != nil {
			c.err = err
			return
		}
	}
}
