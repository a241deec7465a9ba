package pipeliner

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/bodyreader"
	"crocustack/core/peeker"
	"crocustack/core/timekeeper"
)

// Bounds holds what clients may use. 0 means no bound.
type Bounds struct {
	// Header is the maximum time to read the head of a request, and HeaderBytes its
	// maximum length.
	Header      time.Duration
	HeaderBytes int
	// Idle is the maximum time between two requests of a connection.
	Idle time.Duration
	// Connections is the maximum number of connections.
	Connections int
	// Work is the maximum number of requests in work. Only a quarter of it may be used
	// by requests that are sent ahead.
	Work int
	// Stalled is the maximum number of connections whose clients don't read.
	Stalled int
}

// Config holds the settings of a Server.
type Config struct {
	Handler http.Handler
	// Early reports whether a request without a body may begin before the requests
	// before it are answered, because it may run more than once.
	Early  func(r *http.Request) bool
	Bounds func() Bounds
	// Budget bounds the heads and answers that are held.
	Budget *bodyreader.Budget
}

const (
	// defaultHeadBytes bounds heads for which the configuration states no limit.
	defaultHeadBytes = 64 << 10
	// headSlack is added to the limit: the pages of operators don't count line ends.
	headSlack = 4 << 10
	// sweepInterval bounds how long after its time a connection is closed.
	sweepInterval = 100 * time.Millisecond
	// stallTime is the time without progress from which a client counts as not reading.
	stallTime = 500 * time.Millisecond
	// acceptRetryInterval is the pause after an error of Accept, such as a lack of
	// descriptors.
	acceptRetryInterval = 50 * time.Millisecond
	// maxQuietWait bounds the wait of Stop for a moment in which no request has arrived
	// unread. pollInterval is the interval between two looks, and quietLooks the number
	// of looks in a row that must find none.
	maxQuietWait = 300 * time.Millisecond
	pollInterval = 2 * time.Millisecond
	quietLooks   = 3
)

// Server serves the connections of one listener. It is safe for concurrent use.
type Server struct {
	cfg  Config
	log  logr.Logger
	ln   net.Listener
	work atomic.Int64
	// stopping is true once every answer closes its connection.
	stopping atomic.Bool
	closed   chan struct{}
	once     sync.Once

	usageMu sync.Mutex
	totals  totals

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Serve listens on the address and serves connections in the background until the
// returned server is stopped or closed.
func Serve(log logr.Logger, address string, cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{cfg: cfg, log: log, ln: ln, closed: make(chan struct{}), conns: make(map[*conn]struct{})}
	go s.acceptLoop()
	go s.sweepLoop()
	return s, nil
}

func (s *Server) acceptLoop() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Error(err, "connection not accepted")
			time.Sleep(acceptRetryInterval)
			continue
		}
		c := &conn{Conn: nc, s: s, phaseSince: time.Now(), answered: make(chan struct{}, 1)}
		c.source.Reader = nc
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if s.add(c) {
			go c.serve()
		}
	}
}

// add records a new connection and, if there are too many, closes the one that
// leastUseful returns. It returns false if that is the new one.
func (s *Server) add(c *conn) bool {
	most := s.cfg.Bounds().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if most > 0 && len(s.conns) >= most {
		victim := s.leastUseful()
		if victim == nil {
			c.end()
			return false
		}
		delete(s.conns, victim)
		victim.end()
	}
	s.conns[c] = struct{}{}
	return true
}

// leastUseful returns the connection that has been idle longest, else the one whose head
// has been awaited longest, else the one whose client has not read for longest, else
// nil. The caller holds mu.
func (s *Server) leastUseful() *conn {
	now := time.Now()
	var idle, head, stalled *conn
	longest := func(best **conn, most *time.Duration, c *conn, d time.Duration) {
		if *best == nil || d > *most {
			*best, *most = c, d
		}
	}
	var idleTime, headTime, stalledTime time.Duration
	for c := range s.conns {
		waiting, inHead := c.waiting(now)
		switch {
		case inHead:
			longest(&head, &headTime, c, waiting)
		case waiting > 0 && peeker.Peek(c.Conn) != peeker.StateUnread:
			longest(&idle, &idleTime, c, waiting)
		case c.stalled(now) > stallTime:
			longest(&stalled, &stalledTime, c, c.stalled(now))
		}
	}
	switch {
	case idle != nil:
		return idle
	case head != nil:
		return head
	default:
		return stalled
	}
}

// waiting returns how long the connection has been waiting for its client while no
// request is in work, or 0, and whether it waits for a head.
func (c *conn) waiting(now time.Time) (d time.Duration, inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 {
		return 0, false
	}
	return max(now.Sub(c.phaseSince), 1), c.phase != phaseIdle
}

// stalled returns how long the current write has lasted.
func (c *conn) stalled(now time.Time) time.Duration {
	if since := c.writingSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return 0
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

// sweep closes connections whose clients are too slow, idle for too long, or too many of
// those that don't read.
func (s *Server) sweep(now time.Time) {
	b := s.cfg.Bounds()
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled []*conn
	for c := range s.conns {
		waiting, inHead := c.waiting(now)
		stall := c.stalled(now)
		switch {
		case inHead && b.Header > 0 && waiting > b.Header, stall > maxWriteTime:
			c.end()
		case !inHead && b.Idle > 0 && waiting > b.Idle && peeker.Peek(c.Conn) != peeker.StateUnread:
			c.end()
		case stall > stallTime:
			stalled = append(stalled, c)
		}
	}
	if b.Stalled <= 0 || len(stalled) <= b.Stalled {
		return
	}
	slices.SortFunc(stalled, func(a, b *conn) int { return cmp.Compare(b.stalled(now), a.stalled(now)) })
	for _, c := range stalled[:len(stalled)-b.Stalled] {
		c.end()
	}
}

func (s *Server) headLimit() int {
	if n := s.cfg.Bounds().HeaderBytes; n > 0 {
		return n + headSlack
	}
	return defaultHeadBytes
}

// roomAhead reports whether a request sent ahead may begin.
func (s *Server) roomAhead() bool {
	most := s.cfg.Bounds().Work
	return most <= 0 || s.work.Load() < int64(most/4)
}

// takeWork counts a request that begins, and reports whether it may.
func (s *Server) takeWork(ahead bool) bool {
	most := int64(s.cfg.Bounds().Work)
	n := s.work.Add(1)
	if most > 0 && n > most && !ahead {
		s.work.Add(-1)
		return false
	}
	return true
}

const (
	// workInterval and workTries bound how long a request waits for the room of requests
	// whose bodies have stalled and that were given up for it.
	workInterval = 5 * time.Millisecond
	workTries    = 20
)

// awaitWork counts a request that begins, and reports whether it may. Requests whose
// bodies have stalled have to make room.
func (s *Server) awaitWork(ahead bool) bool {
	for range workTries {
		if s.takeWork(ahead) {
			return true
		}
		if !s.cfg.Budget.StopStalled(time.Now()) {
			return false
		}
		time.Sleep(workInterval)
	}
	return s.takeWork(ahead)
}

func (s *Server) releaseWork() { s.work.Add(-1) }

// Work returns the number of requests in work.
func (s *Server) Work() int64 { return s.work.Load() }

// Connections returns the number of connections.
func (s *Server) Connections() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.conns))
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.ln.Close()
	s.once.Do(func() { close(s.closed) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.end()
	}
	return errors.Wrap(err, "close listener")
}

// Stop stops the server: requests that have arrived are served, then all connections are
// closed. It returns the error of ctx if requests are still being served when ctx is
// done. The handler should answer with "Connection: close" by then.
func (s *Server) Stop(ctx context.Context) error {
	quiet, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	for looks := 0; looks < quietLooks && quiet.Err() == nil; looks++ {
		if peeker.Pending(s.ln) || s.busy() {
			looks = -1
		}
		timekeeper.Sleep(quiet, pollInterval)
	}
	s.stopping.Store(true)
	_ = s.ln.Close() // If this fails, it is closed already.
	for ctx.Err() == nil && s.busy() {
		timekeeper.Sleep(ctx, pollInterval)
	}
	err := ctx.Err()
	_ = s.Close() // Close of the listener fails, as it is closed.
	return err
}

// busy reports whether a request has arrived that is not answered.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy() {
			return true
		}
	}
	return false
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding > 0 || c.phase == phaseHead || !c.noMore && peeker.Peek(c.Conn) == peeker.StateUnread
}
