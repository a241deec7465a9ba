package linker

import (
	"net"
	"sync"
)

// batchBytes bounds what waits to be written. A full batch blocks the writer, as
// a full socket buffer does.
const batchBytes = 64 << 10

// batchConn writes what was handed over in a row with one system call: a frame
// comes in two or more pieces, and frames of many exchanges come together. An
// error is returned by the next Write.
type batchConn struct {
	net.Conn

	mu sync.Mutex
	// changed is signalled when waiting, err or closed changes.
	changed sync.Cond
	// waiting holds at most batchBytes, or one larger piece.
	waiting []byte
	err     error
	closed  bool
}

func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

// Write hands b over. It doesn't keep b.
func (c *batchConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) > 0 && len(c.waiting)+len(b) > batchBytes && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case c.closed:
		return 0, net.ErrClosed
	}
	c.waiting = append(c.waiting, b...)
	c.changed.Broadcast()
	return len(b), nil
}

// DropOnClose makes Close drop also what the kernel has not sent yet. The kernel
// would otherwise go on sending it for minutes.
func (c *batchConn) DropOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the connection is closed all the same.
	}
}

// Close drops what is still waiting.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// flush writes what waits until the connection fails or is closed.
func (c *batchConn) flush() {
	var spare []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.waiting) == 0 && !c.closed {
			c.changed.Wait()
		}
		if c.closed {
			return
		}
		batch := c.waiting
		c.waiting = spare[:0]
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		spare = batch
		c.changed.Broadcast()
		if err != nil {
			c.err = err
			return
		}
	}
}
