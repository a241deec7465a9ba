package linker

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// blockedConn blocks writes until unblock is closed.
type blockedConn struct {
	net.Conn
	unblock chan struct{}

	mu     sync.Mutex
	writes int
	got    bytes.Buffer
	err    error
}

func (c *blockedConn) Write(b []byte) (int, error) {
	<-c.unblock
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	_, _ = c.got.Write(b)
	return len(b), c.err
}

func (c *blockedConn) Close() error { return nil }

func (c *blockedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *blockedConn) state() (writes int, got string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes, c.got.String()
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

// TestBatchWritesTogether guards against one system call for each piece of a
// frame when many exchanges share a link, and against pieces that are lost or
// reordered.
func TestBatchWritesTogether(t *testing.T) {
	raw := &blockedConn{unblock: make(chan struct{})}
	c := newBatchConn(raw, time.Minute)
	defer func() { _ = c.Close() }()
	var want bytes.Buffer
	for i := range 200 {
		piece := bytes.Repeat([]byte{byte(i)}, i%7+1)
		_, _ = want.Write(piece)
		if _, err := c.Write(piece); err != nil {
			t.Fatal(err)
		}
		clear(piece) // batchConn must not retain the slice.
	}
	close(raw.unblock)
	waitFor(t, "whole content", func() bool { _, got := raw.state(); return got == want.String() })
	if writes, _ := raw.state(); writes > 2 {
		t.Errorf("%d writes for 200 pieces, want at most 2", writes)
	}
}

// TestBatchBlocksWhenFull guards against a buffer that grows without limit while
// the peer doesn't read.
func TestBatchBlocksWhenFull(t *testing.T) {
	raw := &blockedConn{unblock: make(chan struct{})}
	c := newBatchConn(raw, time.Minute)
	written := make(chan int, 64)
	go func() {
		defer close(written)
		for range 40 {
			n, err := c.Write(make([]byte, 8<<10))
			if err != nil {
				return
			}
			written <- n
		}
	}()
	time.Sleep(50 * time.Millisecond)
	// One batch may be in a blocked write besides the one that is buffered.
	if n := len(written) * (8 << 10); n > 2*batchBytes {
		t.Errorf("%d bytes accepted while the peer reads nothing, want at most %d", n, 2*batchBytes)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	for range written { // Ends because Close unblocks the writer.
	}
	close(raw.unblock)
}

// TestBatchReturnsErrors guards against a failed or closed connection that goes
// on accepting writes.
func TestBatchReturnsErrors(t *testing.T) {
	broken := errors.New("broken")
	raw := &blockedConn{unblock: make(chan struct{}), err: broken}
	close(raw.unblock)
	c := newBatchConn(raw, time.Minute)
	_, _ = c.Write([]byte("a"))
	waitFor(t, "error", func() bool { _, err := c.Write([]byte("b")); return errors.Is(err, broken) })
	_ = c.Close()
	closed := newBatchConn(&blockedConn{unblock: make(chan struct{})}, time.Minute)
	_ = closed.Close()
	if _, err := closed.Write([]byte("c")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write after close: %v, want %v", err, net.ErrClosed)
	}
}
