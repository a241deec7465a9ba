package linker

import (
	"bufio"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"crocustack/core/detector"
	"crocustack/core/encoder"
)

// Stream carries one exchange. Send and Receive may run concurrently with each
// other, but each by one goroutine at a time.
type Stream struct {
	conn *yamux.Stream
	r    *bufio.Reader
}

func newStream(conn *yamux.Stream) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}
}

// Send writes the messages in one frame.
func (s *Stream) Send(ms ...proto.Message) error { return encoder.Write(s.conn, ms...) }

// Receive reads the next message; io.EOF when the peer closed its side.
func (s *Stream) Receive(m proto.Message) error { return encoder.Read(s.r, m) }

// SetDeadline bounds Send and Receive.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends this side of the stream. Before the answer it is a cancellation.
func (s *Stream) Close() error { return s.conn.Close() }

// countingConn notes when bytes last came in and counts the traffic.
type countingConn struct {
	*batchConn
	lastRead      atomic.Int64 // Unix nanoseconds.
	read, written atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.batchConn.Read(b)
	if n > 0 {
		c.read.Add(int64(n))
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.batchConn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Link is a live session with one peer. It is safe for concurrent use.
type Link struct {
	// Lateness is that of the requests that come in on this link.
	Lateness detector.Lateness
	// Dialed is true when this node opened the link.
	Dialed bool
	// Since is when the handshake ended.
	Since time.Time

	peer    *encoder.Hello
	sess    *yamux.Session
	conn    *countingConn
	control *Stream
	// sendMu keeps control messages whole; it is never held with manager locks.
	sendMu  sync.Mutex
	pending atomic.Int64
	lastUse atomic.Int64 // Unix nanoseconds.
	// roundTrip is when the last completed round trip began, by the local clock with its
	// monotonic reading; the handshake is the first.
	roundTrip atomic.Pointer[time.Time]
	closed    atomic.Bool
	// silence and seen, the last read that silence knows of, belong to the
	// watch of the manager.
	silence *detector.Silence
	seen    int64
}

// Peer returns what the peer said of itself in the handshake.
func (l *Link) Peer() *encoder.Hello { return l.peer }

// Address is the link address of the peer.
func (l *Link) Address() string { return l.peer.GetIncarnation().GetAddress() }

// Pending is the number of exchanges that wait for the peer.
func (l *Link) Pending() int64 { return l.pending.Load() }

// Traffic returns the bytes read and written since the link was opened.
func (l *Link) Traffic() (read, written int64) { return l.conn.read.Load(), l.conn.written.Load() }

// Closed tells whether the link can no longer be used.
func (l *Link) Closed() bool { return l.closed.Load() || l.sess.IsClosed() }

// OpenStream opens a stream for one exchange. An error means that nothing was
// sent. The caller must call Done once when it no longer waits for the peer.
func (l *Link) OpenStream() (*Stream, error) {
	if l.Closed() {
		return nil, errors.New("link is closed")
	}
	conn, err := l.sess.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	l.pending.Add(1)
	l.lastUse.Store(time.Now().UnixNano())
	return newStream(conn), nil
}

// Done says that an exchange no longer waits for the peer.
func (l *Link) Done() { l.pending.Add(-1) }

// SendControl sends a message on the control stream.
func (l *Link) SendControl(m *encoder.Control) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.control.Send(m)
}

// Ping waits for one round trip.
func (l *Link) Ping() error {
	start := time.Now()
	if _, err := l.sess.Ping(); err != nil {
		return errors.Wrap(err, "ping")
	}
	l.roundTrip.Store(&start)
	return nil
}

// LastRoundTrip is when the peer was last known to hold this link open.
func (l *Link) LastRoundTrip() time.Time { return *l.roundTrip.Load() }

// Abandon closes the link at once and drops what was not yet sent.
func (l *Link) Abandon() {
	l.closed.Store(true)
	l.conn.DropOnClose()
	_ = l.sess.Close()
}
