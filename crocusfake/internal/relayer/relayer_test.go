package relayer

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func ping(c net.Conn, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

// Guards against a silenced connection that is closed or forwards data late,
// against faults that affect other connections, and against a delay that is not
// applied.
func TestSilence(t *testing.T) {
	r, err := New("127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	old := dial(t, r)
	if err := ping(old, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	if err := ping(old, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silent connection: %v", err)
	}
	fresh := dial(t, r)
	if err := ping(fresh, 5*time.Second); err != nil {
		t.Errorf("new connection after silence: %v", err)
	}
	r.SetBlocked(true)
	if err := ping(dial(t, r), 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("blocked connection: %v", err)
	}
	r.SetBlocked(false)
	if err := ping(old, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silent connection after the block: %v", err)
	}
	r.CloseConnections()
	if err := ping(fresh, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("closed connection: %v", err)
	}
	r.SetDelay(20 * time.Millisecond)
	begin := time.Now()
	if err := ping(dial(t, r), 5*time.Second); err != nil || time.Since(begin) < 40*time.Millisecond {
		t.Errorf("delayed connection: %v after %v", err, time.Since(begin))
	}
}
