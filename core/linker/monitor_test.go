package linker

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"crocustack/core/encoder"
)

// closeRecorder records the peer addresses of the links that are closed.
type closeRecorder struct {
	address string
	closed  chan string
}

func (r *closeRecorder) Hello() *encoder.Hello {
	return &encoder.Hello{Incarnation: &encoder.Incarnation{Address: r.address}}
}
func (r *closeRecorder) Opened(*Link)                    {}
func (r *closeRecorder) Closed(l *Link, _ error)         { r.closed <- l.Address() }
func (r *closeRecorder) Stream(_ *Link, s *Stream)       { _ = s.Receive(&encoder.Request{}) }
func (r *closeRecorder) Control(*Link, *encoder.Control) {}

// startManager starts a Manager that accepts links until the test ends, and
// returns it with its handler.
func startManager(t *testing.T, cfg Config) (*Manager, *closeRecorder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &closeRecorder{address: ln.Addr().String(), closed: make(chan string, 8)}
	m := New(cfg, logr.Discard(), r)
	go func() { _ = m.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		m.Close()
	})
	return m, r
}

// startSilencingProxy starts a proxy for one connection to the address. The
// proxy copies in both directions until the returned channel is closed and then
// discards everything while the connection stays open. It returns its listen
// address.
func startSilencingProxy(t *testing.T, address string) (string, chan<- struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	discard := make(chan struct{})
	forward := func(to, from net.Conn) {
		b := make([]byte, 4096)
		for {
			n, err := from.Read(b)
			select {
			case <-discard:
				_, _ = io.Copy(io.Discard, from)
				return
			default:
			}
			if _, werr := to.Write(b[:n]); err != nil || werr != nil {
				_ = to.Close()
				return
			}
		}
	}
	go func() {
		a, err := ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", address)
		if err != nil {
			_ = a.Close()
			return
		}
		go forward(a, b)
		forward(b, a)
	}()
	return ln.Addr().String(), discard
}

// TestMonitorClosesOnlySilentLink guards against the check of all links missing
// a silent link, or abandoning a healthy one instead: one ticker serves all
// links.
func TestMonitorClosesOnlySilentLink(t *testing.T) {
	long := time.Hour
	cfg := Config{DialTimeout: 5 * time.Second, SilentAfter: 100 * time.Millisecond, AbandonAfter: 200 * time.Millisecond, IdleTimeout: long}
	_, healthy := startManager(t, cfg)
	_, silent := startManager(t, cfg)
	proxy, discard := startSilencingProxy(t, silent.address)
	m, self := startManager(t, cfg)
	for _, address := range []string{healthy.address, proxy} {
		l, err := m.Get(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		// Only a link with a pending exchange is probed.
		if _, err := l.OpenStream(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	close(discard)
	select {
	case got := <-self.closed:
		if got != silent.address {
			t.Errorf("link to %s closed, want the silent one to %s", got, silent.address)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("silent link is still open")
	}
	if m.Lookup(healthy.address) == nil {
		t.Error("healthy link was closed")
	}
}

// TestMonitorClosesIdleLinks guards against idle links that stay open and hold
// memory and connections at services with many callers.
func TestMonitorClosesIdleLinks(t *testing.T) {
	cfg := Config{DialTimeout: 5 * time.Second, SilentAfter: 60 * time.Millisecond, AbandonAfter: time.Second, IdleTimeout: 50 * time.Millisecond}
	_, peer := startManager(t, cfg)
	m, self := startManager(t, cfg)
	if _, err := m.Get(context.Background(), peer.address); err != nil {
		t.Fatal(err)
	}
	select {
	case <-self.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("idle link is still open")
	}
}
