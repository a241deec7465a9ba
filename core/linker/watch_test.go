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

type node struct {
	address string
	closed  chan string
}

func (n *node) Hello() *encoder.Hello {
	return &encoder.Hello{Incarnation: &encoder.Incarnation{Address: n.address}}
}
func (n *node) Opened(*Link)                    {}
func (n *node) Closed(l *Link, _ error)         { n.closed <- l.Address() }
func (n *node) Stream(_ *Link, s *Stream)       { _ = s.Receive(&encoder.Request{}) }
func (n *node) Control(*Link, *encoder.Control) {}

func start(t *testing.T, cfg Config) (*Manager, *node) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{address: ln.Addr().String(), closed: make(chan string, 8)}
	m := New(cfg, logr.Discard(), n)
	go func() { _ = m.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		m.Close()
	})
	return m, n
}

// silent starts a proxy for one connection to the address. The proxy copies in
// both directions until the returned channel is closed and then discards
// everything while the connection stays open. It returns its listen address.
func silent(t *testing.T, address string) (string, chan<- struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	swallow := make(chan struct{})
	pass := func(to, from net.Conn) {
		b := make([]byte, 4096)
		for {
			n, err := from.Read(b)
			select {
			case <-swallow:
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
		go pass(a, b)
		pass(b, a)
	}()
	return ln.Addr().String(), swallow
}

// TestWatchTellsLinksApart guards against the check of all links missing a
// silent link, or abandoning a healthy one instead: one ticker serves all
// links.
func TestWatchTellsLinksApart(t *testing.T) {
	long := time.Hour
	cfg := Config{DialTimeout: 5 * time.Second, SilentAfter: 100 * time.Millisecond, AbandonAfter: 200 * time.Millisecond, IdleTimeout: long}
	_, healthy := start(t, cfg)
	_, mute := start(t, cfg)
	relay, swallow := silent(t, mute.address)
	m, self := start(t, cfg)
	for _, address := range []string{healthy.address, relay} {
		l, err := m.Get(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		// Only a link with a pending exchange is probed.
		if _, err := l.OpenStream(); err != nil {
			t.Fatal(err)
		}
	}
	close(swallow)
	select {
	case got := <-self.closed:
		if got != mute.address {
			t.Errorf("link to %s closed, want the silent one to %s", got, mute.address)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("silent link is still open")
	}
	if m.Lookup(healthy.address) == nil {
		t.Error("healthy link was closed")
	}
}

// TestWatchClosesIdleLinks guards against idle links that stay open and hold
// memory and connections at services with many callers.
func TestWatchClosesIdleLinks(t *testing.T) {
	cfg := Config{DialTimeout: 5 * time.Second, SilentAfter: 60 * time.Millisecond, AbandonAfter: time.Second, IdleTimeout: 50 * time.Millisecond}
	_, peer := start(t, cfg)
	m, self := start(t, cfg)
	if _, err := m.Get(context.Background(), peer.address); err != nil {
		t.Fatal(err)
	}
	select {
	case <-self.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("idle link is still open")
	}
}
