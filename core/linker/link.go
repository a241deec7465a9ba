package linker

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/libp2p/go-yamux/v5"
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

// Receive reads the next message. It returns io.EOF when the peer has closed its
// side.
func (s *Stream) Receive(m proto.Message) error { return encoder.Read(s.r, m) }

// SetDeadline sets the deadline of Send and Receive.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close closes this side of the stream. Closing it before the answer was
// received cancels the exchange.
func (s *Stream) Close() error { return s.conn.Close() }

// CloseUnread closes a stream whose peer may still be sending. The peer can read
// what was sent before; its own sends fail from now on, where after Close they
// would wait for a receive window that is never granted.
func (s *Stream) CloseUnread() error {
	if err := s.conn.CloseWrite(); err != nil {
		return errors.Wrap(err, "close write side")
	}
	return errors.Wrap(s.conn.Reset(), "reset read side")
}

// countingConn counts the bytes read and written, and records the time of the
// last read.
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
	// Lateness estimates the lateness of the requests received on this link.
	Lateness detector.LatenessEstimator
	// Dialed is true when this node opened the link.
	Dialed bool
	// OpenedAt is the time at which the handshake was completed.
	OpenedAt time.Time

	peer    *encoder.Hello
	sess    *yamux.Session
	conn    *countingConn
	control *Stream
	// sendMu serializes writes to the control stream. It is never held together
	// with a lock of the Manager.
	sendMu  sync.Mutex
	pending atomic.Int64 // Exchanges that wait for the peer.
	lastUse atomic.Int64 // Unix nanoseconds.
	// lastServed is the time of the last stream that the peer opened, in Unix
	// nanoseconds; 0 before the first.
	lastServed atomic.Int64
	// lastRoundTrip is the time at which the last completed round trip began, with
	// its monotonic clock reading. The first value is that of OpenedAt.
	lastRoundTrip atomic.Pointer[time.Time]
	closed        atomic.Bool
	// monitor and reportedRead are used only by Manager.checkLink, which runs on
	// one goroutine. reportedRead is the value of conn.lastRead that was last
	// reported to monitor.
	monitor      *detector.LinkMonitor
	reportedRead int64
}

// Peer returns the handshake message of the peer.
func (l *Link) Peer() *encoder.Hello { return l.peer }

// Address returns the link address of the peer.
func (l *Link) Address() string { return l.peer.GetIncarnation().GetAddress() }

// Pending returns the number of exchanges that wait for the peer.
func (l *Link) Pending() int64 { return l.pending.Load() }

// Traffic returns the bytes read and written since the link was opened.
func (l *Link) Traffic() (read, written int64) { return l.conn.read.Load(), l.conn.written.Load() }

// Closed reports whether the link can no longer be used.
func (l *Link) Closed() bool { return l.closed.Load() || l.sess.IsClosed() }

// OpenStream opens a stream for one exchange. It waits while the peer has not
// accepted acceptBacklog earlier ones, until ctx is done. An error means that
// nothing was sent. If there is no error, the caller must call EndExchange
// exactly once, when it no longer waits for the peer.
func (l *Link) OpenStream(ctx context.Context) (*Stream, error) {
	if l.Closed() {
		return nil, errors.New("link is closed")
	}
	conn, err := l.sess.OpenStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	l.pending.Add(1)
	l.lastUse.Store(time.Now().UnixNano())
	return newStream(conn), nil
}

// EndExchange marks one exchange as no longer waiting for the peer.
func (l *Link) EndExchange() { l.pending.Add(-1) }

// SendControl sends a message on the control stream.
func (l *Link) SendControl(m *encoder.Control) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.control.Send(m)
}

// notify sends a control message unless another one is being sent.
func (l *Link) notify(m *encoder.Control) error {
	if !l.sendMu.TryLock() {
		return nil
	}
	defer l.sendMu.Unlock()
	return l.control.Send(m)
}

// Probe sends a probe and waits for the reply, or for the reply to a probe that
// is already under way.
func (l *Link) Probe() error {
	_, err := l.sess.Ping()
	return errors.Wrap(err, "probe")
}

// RoundTrip completes a round trip that begins after the call. A probe that was
// under way may have been answered long ago, with the reply waiting unread in
// this process, so the round trip that counts begins after its end.
func (l *Link) RoundTrip() error {
	start := time.Now()
	for range 2 {
		if err := l.Probe(); err != nil {
			return err
		}
	}
	l.lastRoundTrip.Store(&start)
	return nil
}

// LastRoundTrip returns the last time at which the peer is known to have had
// this link open: the start of the last completed round trip.
func (l *Link) LastRoundTrip() time.Time { return *l.lastRoundTrip.Load() }

// Abandon closes the link immediately and discards unsent data.
func (l *Link) Abandon() {
	l.closed.Store(true)
	l.conn.ResetOnClose()
	_ = l.sess.Close()
}
