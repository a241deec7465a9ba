package linker

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"crocustack/core/encoder"
)

// refusingPeer answers every stream after its first message and leaves the rest
// unread.
type refusingPeer struct{ echoPeer }

func (p *refusingPeer) Stream(_ *Link, s *Stream) {
	m := &encoder.Request{}
	if s.Receive(m) == nil && s.Send(m) == nil {
		_ = s.CloseUnread()
	}
}

// TestEarlyAnswerEndsSending guards against a sender that goes on waiting for a
// receive window until its deadline although the peer has answered and reads no
// more, and against losing the answer.
func TestEarlyAnswerEndsSending(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	remote := New(testConfig, logr.Discard(), &refusingPeer{echoPeer{address: ln.Addr().String(), closed: make(chan struct{}, 1)}})
	go func() { _ = remote.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		remote.Close()
	})
	m, _ := newDialer(t)
	l, err := m.Get(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s := openForTest(t, l)
	const patience = 20 * time.Second
	began := time.Now()
	_ = s.SetDeadline(began.Add(patience))
	for err = s.Send(&encoder.Request{}); err == nil; {
		err = s.Send(&encoder.Chunk{Data: make([]byte, encoder.ChunkBytes)})
	}
	if took := time.Since(began); took > patience/2 {
		t.Errorf("sending ended after %v with %v, want an error soon after the answer", took, err)
	}
	if err := s.Receive(&encoder.Request{}); err != nil {
		t.Errorf("answer lost: %v", err)
	}
}

// A yamux header has 12 bytes: version, type, flags, stream ID and length.
const headerBytes = 12

// Types and flags of yamux frames that the tests send themselves.
const (
	typeData = 0
	typePing = 2
	flagSYN  = 1
	flagACK  = 2
)

// pingFrame returns a ping frame with the given flags and ID.
func pingFrame(flags uint16, id uint32) []byte {
	b := make([]byte, headerBytes)
	b[1] = typePing
	binary.BigEndian.PutUint16(b[2:], flags)
	binary.BigEndian.PutUint32(b[8:], id)
	return b
}

// heldPingConn reports the ID of each ping request that is written, and holds
// the write back until it receives from release.
type heldPingConn struct {
	net.Conn
	release chan struct{}
	sent    chan uint32
}

func (c *heldPingConn) Write(b []byte) (int, error) {
	for rest := b; len(rest) >= headerBytes; {
		length := binary.BigEndian.Uint32(rest[8:])
		frameLength := headerBytes
		if rest[1] == typeData {
			frameLength += int(length)
		}
		if bytes.Equal(rest[:headerBytes], pingFrame(flagSYN, length)) {
			c.sent <- length
			<-c.release
		}
		rest = rest[min(frameLength, len(rest)):]
	}
	return c.Conn.Write(b)
}

// TestRoundTripBeginsAfterCall guards against a round trip that counts although
// its probe was sent before the call: its reply may have waited unread while
// this process was paused, and proves nothing about the time since.
func TestRoundTripBeginsAfterCall(t *testing.T) {
	remote := startEchoPeer(t)
	raw, err := net.Dial("tcp", remote.address)
	if err != nil {
		t.Fatal(err)
	}
	c := &heldPingConn{Conn: raw, release: make(chan struct{}), sent: make(chan uint32, 16)}
	m, _ := newDialer(t)
	started := make(chan *Link)
	go func() {
		l, err := m.start(c, true)
		if err != nil {
			t.Errorf("start link: %v", err)
		}
		started <- l
	}()
	first := <-c.sent // The session measures its round trip time once.
	c.release <- struct{}{}
	l := <-started
	if l == nil {
		return
	}
	waitFor(t, "end of the first probe", func() bool { return l.sess.RTT() > 0 })
	probe := make(chan error, 1)
	go func() { probe <- l.Probe() }()
	early := <-c.sent // Under way before RoundTrip is called.
	trip := make(chan error, 1)
	go func() { trip <- l.RoundTrip() }()
	time.Sleep(20 * time.Millisecond) // RoundTrip may join the probe under way.
	c.release <- struct{}{}
	select {
	case err := <-trip:
		t.Fatalf("round trip ended with %v before a probe of its own was sent", err)
	case late := <-c.sent:
		if late == first || late == early {
			t.Errorf("probe %d sent again", late)
		}
	}
	close(c.release)
	if err := <-trip; err != nil {
		t.Errorf("round trip: %v", err)
	}
	if err := <-probe; err != nil {
		t.Errorf("probe: %v", err)
	}
}

// FuzzLinkBytes guards against bytes on a link that end the process, leave a
// goroutine behind or open a link without a handshake.
func FuzzLinkBytes(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2, 1, 7})
	f.Add(append(pingFrame(flagSYN, 1), pingFrame(flagACK, 9)...))
	f.Add([]byte{0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Add([]byte{0, 0, 0, 9, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		go func() {
			_, _ = there.Write(in)
			_ = there.Close()
		}()
		p := &echoPeer{address: "127.0.0.1:1", closed: make(chan struct{}, 1)}
		m := New(testConfig, logr.Discard(), p)
		if l, err := m.start(here, false); err == nil && l.Address() == "" {
			t.Error("link opened without the address of the peer")
		}
		m.Close()
	})
}

// panickingPeer panics on streams whose request asks for tickets, and on every
// control message.
type panickingPeer struct{ echoPeer }

func (p *panickingPeer) Stream(l *Link, s *Stream) {
	m := &encoder.Request{}
	if s.Receive(m) != nil {
		return
	}
	if m.GetMint() != nil {
		panic("fault of the handler")
	}
	_ = s.Send(m)
}

func (p *panickingPeer) Control(*Link, *encoder.Control) { panic("fault of the handler") }

// TestPanicEndsOneStreamOrLink guards against a message of one peer that ends the
// process, and with it the exchanges of all other peers.
func TestPanicEndsOneStreamOrLink(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	remote := New(testConfig, logr.Discard(), &panickingPeer{echoPeer{address: ln.Addr().String(), closed: make(chan struct{}, 2)}})
	go func() { _ = remote.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		remote.Close()
	})
	var links []*Link
	for range 2 {
		m, _ := newDialer(t)
		l, err := m.Get(context.Background(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	exchange := func(l *Link, m *encoder.Request) error {
		s := openForTest(t, l)
		_ = s.SetDeadline(time.Now().Add(20 * time.Second))
		if err := s.Send(m); err != nil {
			return err
		}
		return s.Receive(&encoder.Request{})
	}
	poison := &encoder.Request{Message: &encoder.Request_Mint{Mint: &encoder.Mint{}}}
	if err := exchange(links[0], poison); err == nil {
		t.Error("an answer after a panic")
	}
	if err := exchange(links[0], &encoder.Request{}); err != nil {
		t.Errorf("the next exchange on the same link: %v", err)
	}
	if err := links[0].SendControl(&encoder.Control{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "end of the link whose control message caused a panic", links[0].Closed)
	if err := exchange(links[1], &encoder.Request{}); err != nil {
		t.Errorf("an exchange of another peer: %v", err)
	}
}

// TestNotifySenders guards against notices to peers that send no requests: with
// hundreds of nodes, most links of a gate belong to its own requests.
func TestNotifySenders(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := New(testConfig, logr.Discard(), &echoPeer{address: ln.Addr().String(), closed: make(chan struct{}, 2)})
	go func() { _ = gate.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		gate.Close()
	})
	began := time.Now()
	var peers []*echoPeer
	var links []*Link
	for range 2 {
		m, p := newDialer(t)
		p.controls = make(chan *encoder.Control, 1)
		l, err := m.Get(context.Background(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peers, links = append(peers, p), append(links, l)
	}
	s := openForTest(t, links[0])
	if err := s.Send(&encoder.Request{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Receive(&encoder.Request{}); err != nil {
		t.Fatal(err)
	}
	gate.NotifySenders(began, &encoder.Control{Message: &encoder.Control_Notice{Notice: &encoder.Notice{}}})
	select {
	case m := <-peers[0].controls:
		if m.GetNotice() == nil {
			t.Errorf("got %v, want the notice", m)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the sender got no notice")
	}
	select {
	case m := <-peers[1].controls:
		t.Errorf("a peer that sent no request got %v", m)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestCloseEndsHandshakes guards against a Close that leaves connections and
// goroutines behind until the handshake times out.
func TestCloseEndsHandshakes(t *testing.T) {
	cfg := testConfig
	cfg.DialTimeout = time.Minute
	m := New(cfg, logr.Discard(), &echoPeer{address: "127.0.0.1:1", closed: make(chan struct{}, 1)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = m.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	waitFor(t, "handshake", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.starting) == 1
	})
	_ = ln.Close()
	m.Close()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for buf := make([]byte, 4096); err == nil; {
		_, err = conn.Read(buf)
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the connection is still open 20 s after Close")
	}
}
