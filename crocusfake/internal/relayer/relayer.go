package relayer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// queueLength bounds the chunks in flight per direction; a full queue stops
// reading, as a full pipe does.
const queueLength = 256

// Relay forwards connections to one target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	// oneWay is true while what the target sends is held back.
	oneWay atomic.Bool

	mu      sync.Mutex
	blocked bool
	closed  bool
	conns   map[*connection]struct{}
}

type connection struct {
	in, out net.Conn
	// silent is closed when nothing is forwarded any more.
	silent chan struct{}
	muted  sync.Once
	// ended is set by close. The relay's mutex guards it and out.
	ended bool
}

// New starts a relay on the listen address.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "start relay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[*connection]struct{})}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetDelay delays each direction.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetOneWay cuts the direction from the target until it is reset. As with a cut
// of a real link, TCP delivers afterwards what was held back.
func (r *Relay) SetOneWay(cut bool) { r.oneWay.Store(cut) }

// Silence makes the open connections silent without closing them. New ones
// work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence()
}

// SetBlocked makes open and new connections silent until it is reset.
func (r *Relay) SetBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	if blocked {
		r.silence()
	}
}

// CloseConnections closes the open connections, silent ones included.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close stops the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.CloseConnections()
}

// silence needs the mutex.
func (r *Relay) silence() {
	for c := range r.conns {
		c.mute()
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	c := &connection{in: in, silent: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		_ = in.Close()
		return
	}
	r.conns[c] = struct{}{}
	blocked := r.blocked
	if blocked {
		c.mute()
	}
	r.mu.Unlock()
	if blocked {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		r.drop(c)
		return
	}
	r.mu.Lock()
	c.out = out
	if c.ended {
		_ = out.Close()
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(c, in, out, nil) })
	wg.Go(func() { r.pump(c, out, in, &r.oneWay) })
	wg.Wait()
	select {
	case <-c.silent:
		// Stays open until CloseConnections or Close.
	default:
		r.drop(c)
	}
}

func (r *Relay) drop(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.close()
}

type chunk struct {
	data []byte
	due  time.Time
}

// holdPoll is the time between two looks at whether a cut has ended.
const holdPoll = 5 * time.Millisecond

// pump forwards one direction until it ends or falls silent. It holds back what
// comes in while cut, if there is one, is true.
func (r *Relay) pump(c *connection, from, to net.Conn, cut *atomic.Bool) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			select {
			case <-c.silent:
				return
			default:
			}
			if n > 0 {
				queue <- chunk{data: buf[:n], due: time.Now().Add(time.Duration(r.delay.Load()))}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for ch := range queue {
		if wait := time.Until(ch.due); wait > 0 {
			time.Sleep(wait)
		}
		for cut != nil && cut.Load() {
			time.Sleep(holdPoll)
		}
		select {
		case <-c.silent:
			failed = true
		default:
		}
		if !failed {
			_, err := to.Write(ch.data)
			failed = err != nil
		}
	}
	select {
	case <-c.silent:
	default:
		// The end of one direction is passed on; both end when the peers close.
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

// mute wakes the readers, so that they stop at once.
func (c *connection) mute() {
	c.muted.Do(func() {
		close(c.silent)
		_ = c.in.SetReadDeadline(time.Now())
		if c.out != nil {
			_ = c.out.SetReadDeadline(time.Now())
		}
	})
}

func (c *connection) close() {
	c.ended = true
	_ = c.in.Close()
	if c.out != nil {
		_ = c.out.Close()
	}
}
