package linker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/libp2p/go-yamux/v5"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"crocustack/core/detector"
	"crocustack/core/encoder"
	"crocustack/core/isolator"
	"crocustack/core/timekeeper"
)

// CloseDelay is the time that a node should wait between its last answer and
// closing its links. A TCP connection that is closed with unread input is
// reset, and the peer then loses the data that it has not read.
const CloseDelay = 200 * time.Millisecond

// Handler handles the events of links. Its methods are called from several
// goroutines; calls of Control for the same link don't overlap.
type Handler interface {
	// Hello returns the handshake message of this node.
	Hello() *encoder.Hello
	// Opened is called once for each link after the handshake.
	Opened(l *Link)
	// Closed is called once for each opened link.
	Closed(l *Link, err error)
	// Stream serves one exchange. The stream is closed when it returns.
	Stream(l *Link, s *Stream)
	// Control handles one control message.
	Control(l *Link, m *encoder.Control)
}

// Config holds the timeouts of links.
type Config struct {
	DialTimeout  time.Duration // Limit for connecting and the handshake together.
	SilentAfter  time.Duration // A link with pending exchanges is probed after this time without a read.
	AbandonAfter time.Duration // A probed link is abandoned after this further time without a read.
	IdleTimeout  time.Duration // The side that dialed a link closes it after this time without exchanges.
	// Isolator contains panics of the Handler; nil for one that only logs them.
	Isolator *isolator.Isolator
}

// DefaultConfig returns the timeouts given in docs/design.md, section 5.7.
func DefaultConfig() Config {
	return Config{
		DialTimeout:  time.Second,
		SilentAfter:  300 * time.Millisecond,
		AbandonAfter: 700 * time.Millisecond,
		IdleTimeout:  5 * time.Minute,
	}
}

// Manager owns the links of one node. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	log     logr.Logger
	handler Handler
	dials   singleflight.Group

	mu sync.Mutex
	// links holds the newest link to each address. Older ones stay usable until
	// they are closed.
	links map[string]*Link
	// all holds every open link.
	all map[*Link]struct{}
	// starting holds the connections whose handshake is not completed.
	starting map[net.Conn]struct{}
	closed   bool
	// monitoring is true once monitorLinks has been started. Closing done ends it.
	monitoring bool
	done       chan struct{}
	wg         sync.WaitGroup
}

// New returns a Manager that passes the events of its links to h.
func New(cfg Config, log logr.Logger, h Handler) *Manager {
	if timekeeper.SinceBoot() == 0 {
		log.Info("uptime of the machine unknown; requests that come late count as fresh")
	}
	if cfg.Isolator == nil {
		cfg.Isolator = isolator.New(log, metrics.NewRegistry())
	}
	return &Manager{cfg: cfg, log: log, handler: h, links: make(map[string]*Link), all: make(map[*Link]struct{}), starting: make(map[net.Conn]struct{}), done: make(chan struct{})}
}

// acceptRetryInterval is the pause after an error of Accept.
const acceptRetryInterval = 100 * time.Millisecond

// Serve accepts links until the listener or the Manager is closed.
func (m *Manager) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// A lack of descriptors passes, and a node that stopped accepting would only
			// have the links that it dials itself.
			m.log.Error(err, "link not accepted")
			select {
			case <-m.done:
				return nil
			case <-time.After(acceptRetryInterval):
			}
			continue
		}
		go func() {
			if _, err := m.start(conn, false); err != nil {
				m.log.V(1).Info("link refused", "Remote", conn.RemoteAddr().String(), "Error", err.Error())
			}
		}()
	}
}

// Get returns a link to the address. It opens one if there is none. An error
// means that nothing was sent on behalf of the caller.
func (m *Manager) Get(ctx context.Context, address string) (*Link, error) {
	if l := m.Lookup(address); l != nil {
		return l, nil
	}
	ch := m.dials.DoChan(address, func() (any, error) {
		conn, err := net.DialTimeout("tcp", address, m.cfg.DialTimeout)
		if err != nil {
			return nil, errors.Wrap(err, "dial link")
		}
		return m.start(conn, true)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case res := <-ch:
		if res.Err != nil {
			return nil, res.Err
		}
		return res.Val.(*Link), nil
	}
}

// Exchange sends one request to the address on a stream of its own and receives the
// reply, until ctx is done. After an error it is unknown whether the request arrived.
func (m *Manager) Exchange(ctx context.Context, address string, request, reply proto.Message) error {
	l, err := m.Get(ctx, address)
	if err != nil {
		return errors.Wrap(err, "open link")
	}
	s, err := l.OpenStream(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	defer l.EndExchange()
	defer func() { _ = s.Close() }() // The exchange has ended.
	deadline, _ := ctx.Deadline()
	if err := s.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := s.Send(request); err != nil {
		return errors.Wrap(err, "send")
	}
	return errors.Wrap(s.Receive(reply), "receive")
}

// Lookup returns an open link to the address, or nil.
func (m *Manager) Lookup(address string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[address]
	if l == nil || l.Closed() {
		return nil
	}
	return l
}

// Links returns the open links.
func (m *Manager) Links() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	ls := make([]*Link, 0, len(m.all))
	for l := range m.all {
		ls = append(ls, l)
	}
	return ls
}

// Broadcast sends a control message on all links. A link that was closed in the
// meantime has no peer to notify; any other link that fails is closed, so that
// its peer learns of the message at the next handshake or finds this node gone.
func (m *Manager) Broadcast(c *encoder.Control) {
	for _, l := range m.Links() {
		err := l.SendControl(c)
		if err == nil || l.Closed() {
			continue
		}
		m.log.Info("control message not sent, link closed", "Peer", l.Address(), "Error", err.Error())
		l.Abandon()
	}
}

// NotifySenders sends a control message to the peers that have opened a stream
// since the given time. It doesn't wait. A link that is still sending another
// message is left out, so the message must be one that is repeated.
func (m *Manager) NotifySenders(since time.Time, c *encoder.Control) {
	for _, l := range m.Links() {
		if l.lastServed.Load() < since.UnixNano() {
			continue
		}
		go func() {
			if err := l.notify(c); err != nil && !l.Closed() {
				m.log.Info("notice not sent", "Peer", l.Address(), "Error", err.Error())
			}
		}()
	}
}

// Close closes all links and connections and waits for the goroutines that serve
// them.
func (m *Manager) Close() {
	m.mu.Lock()
	if !m.closed {
		m.closed = true
		close(m.done)
	}
	for c := range m.starting {
		_ = c.Close()
	}
	m.mu.Unlock()
	for _, l := range m.Links() {
		_ = l.sess.Close()
	}
	m.wg.Wait()
}

const (
	// acceptBacklog is the number of streams that the peer may open before this
	// side has accepted them; further ones are reset. The opening side waits at
	// the same number, so that a reset means that the peer breaks this rule.
	acceptBacklog = 256
	// maxIncomingStreams bounds the exchanges that one peer may have open here.
	// Together with streamWindow it bounds what a peer can make this node hold.
	maxIncomingStreams = 2048
	// streamWindow is the number of bytes that a peer may send on a stream
	// before this side has read them. It doesn't grow.
	streamWindow = 256 << 10
	// frameBytes is the largest frame sent. It lets one large body delay the
	// frames of other exchanges by no more than its own sending time.
	frameBytes = 64 << 10
	// roundTripInterval is the interval at which the session measures the round
	// trip time, which it needs only to grow windows. It can't be turned off.
	roundTripInterval = 24 * time.Hour
)

func (m *Manager) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.MeasureRTTInterval = roundTripInterval
	c.AcceptBacklog = acceptBacklog
	c.MaxIncomingStreams = maxIncomingStreams
	c.InitialStreamWindowSize = streamWindow
	c.MaxStreamWindowSize = streamWindow
	c.MaxMessageSize = frameBytes
	c.ConnectionWriteTimeout = m.cfg.SilentAfter + m.cfg.AbandonAfter
	c.LogOutput = io.Discard
	return c
}

// errClosed means that the Manager is closed.
var errClosed = errors.New("link manager is closed")

// beginStart records a connection whose handshake begins. It returns false when
// the Manager is closed; otherwise endStart must be called.
func (m *Manager) beginStart(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.starting[conn] = struct{}{}
	m.wg.Add(1)
	return true
}

func (m *Manager) endStart(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.starting, conn)
	m.wg.Done()
}

// start performs the handshake on a new connection and starts the goroutines
// that serve the link.
func (m *Manager) start(conn net.Conn, dialed bool) (*Link, error) {
	if !m.beginStart(conn) {
		_ = conn.Close()
		return nil, errClosed
	}
	defer m.endStart(conn)
	counting := &countingConn{batchConn: newBatchConn(conn, m.cfg.SilentAfter+m.cfg.AbandonAfter)}
	counting.lastRead.Store(time.Now().UnixNano())
	l := &Link{Dialed: dialed, conn: counting}
	l.lastUse.Store(time.Now().UnixNano())
	deadline := time.Now().Add(m.cfg.DialTimeout)
	_ = conn.SetDeadline(deadline)
	if err := m.handshake(l, deadline); err != nil {
		_ = counting.Close()
		if l.sess != nil {
			_ = l.sess.Close()
		}
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	l.OpenedAt = time.Now()
	l.lastRoundTrip.Store(&l.OpenedAt)
	l.monitor, l.reportedRead = detector.NewLinkMonitor(m.cfg.SilentAfter, m.cfg.AbandonAfter), l.conn.lastRead.Load()
	if !m.register(l) {
		_ = l.sess.Close()
		return nil, errClosed
	}
	m.handler.Opened(l)
	go m.serveStreams(l)
	go m.serveControl(l)
	return l, nil
}

func (m *Manager) handshake(l *Link, deadline time.Time) error {
	var err error
	var conn *yamux.Stream
	if l.Dialed {
		if l.sess, err = yamux.Client(l.conn, m.sessionConfig(), nil); err != nil {
			return errors.Wrap(err, "open session")
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		conn, err = l.sess.OpenStream(ctx)
	} else {
		if l.sess, err = yamux.Server(l.conn, m.sessionConfig(), nil); err != nil {
			return errors.Wrap(err, "open session")
		}
		conn, err = l.sess.AcceptStream()
	}
	if err != nil {
		return errors.Wrap(err, "open control stream")
	}
	l.control = newStream(conn)
	_ = l.control.SetDeadline(deadline)
	if err := l.control.Send(m.handler.Hello()); err != nil {
		return errors.Wrap(err, "send hello")
	}
	l.peer = &encoder.Hello{}
	if err := l.control.Receive(l.peer); err != nil {
		return errors.Wrap(err, "receive hello")
	}
	if l.Address() == "" {
		return errors.New("hello without an incarnation address")
	}
	return errors.Wrap(l.control.SetDeadline(time.Time{}), "reset deadline")
}

func (m *Manager) register(l *Link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.links[l.Address()] = l
	m.all[l] = struct{}{}
	m.wg.Add(2)
	if !m.monitoring {
		m.monitoring = true
		m.wg.Add(1)
		go m.monitorLinks()
	}
	return true
}

func (m *Manager) unregister(l *Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.Address()] == l {
		delete(m.links, l.Address())
	}
	delete(m.all, l)
}

func (m *Manager) serveStreams(l *Link) {
	defer m.wg.Done()
	for {
		conn, err := l.sess.AcceptStream()
		if err != nil {
			l.closed.Store(true)
			m.unregister(l)
			m.handler.Closed(l, err)
			return
		}
		l.lastUse.Store(time.Now().UnixNano())
		l.lastServed.Store(time.Now().UnixNano())
		go func() {
			s := newStream(conn)
			defer func() { _ = s.Close() }()
			m.cfg.Isolator.Run("stream", l.Address(), func() { m.handler.Stream(l, s) })
		}()
	}
}

func (m *Manager) serveControl(l *Link) {
	defer m.wg.Done()
	for {
		msg := &encoder.Control{}
		if err := l.control.Receive(msg); err != nil {
			_ = l.sess.Close()
			return
		}
		if !m.cfg.Isolator.Run("control message", l.Address(), func() { m.handler.Control(l, msg) }) {
			// The peer sends the message again at the next handshake, if it holds
			// state that this node still needs.
			_ = l.sess.Close()
			return
		}
	}
}

// monitorLinks checks all links at a regular interval: it probes those with
// pending exchanges on which nothing arrives, and closes those that stay silent
// or are idle. One ticker serves all links: with one ticker per link, 1,000
// idle links woke the process 10,000 times a second.
func (m *Manager) monitorLinks() {
	defer m.wg.Done()
	ticker := time.NewTicker(m.cfg.SilentAfter / 3)
	defer ticker.Stop()
	for {
		select {
		case <-m.done:
			return
		case t := <-ticker.C:
			for _, l := range m.Links() {
				m.checkLink(l, t)
			}
		}
	}
}

func (m *Manager) checkLink(l *Link, t time.Time) {
	if l.Closed() {
		return
	}
	now := t.Sub(l.OpenedAt)
	if read := l.conn.lastRead.Load(); read != l.reportedRead {
		l.reportedRead = read
		l.monitor.RecordRead(now)
	}
	switch l.monitor.Decide(now, l.Pending() > 0) {
	case detector.ActionNone:
	case detector.ActionProbe:
		go func() { _ = l.Probe() }() // Its reply counts as a read.
	case detector.ActionAbandon:
		m.log.Info("link abandoned", "Peer", l.Address(), "Pending", l.Pending())
		l.closed.Store(true)
		// Abandon waits for the goroutines of the session, which would delay the
		// checks of the other links.
		go l.Abandon()
		return
	}
	if m.shouldCloseIdle(l, t) {
		l.closed.Store(true)
		go func() { _ = l.sess.Close() }()
	}
}

// shouldCloseIdle reports whether this node dialed the link and should close it
// because it is no longer used.
func (m *Manager) shouldCloseIdle(l *Link, now time.Time) bool {
	return l.Dialed && l.Pending() == 0 && now.Sub(time.Unix(0, l.lastUse.Load())) > m.cfg.IdleTimeout
}
