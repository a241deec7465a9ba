package relayer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// queueLength is the maximum number of chunks in flight per direction. A full
// queue stops reading and so applies back-pressure to the sender.
const queueLength = 256

// Relay forwards connections to one target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	// targetCut is true while data from the target is held back.
	targetCut atomic.Bool

	mu      sync.Mutex
	blocked bool
	closed  bool
	conns   map[*connection]struct{}
}

type connection struct {
	in, out net.Conn
	// silenced is closed when the connection stops forwarding data.
	silenced    chan struct{}
	silenceOnce sync.Once
	// closed is set by close. The relay's mutex guards closed and out.
	closed bool
}

// New starts a relay from the listen address to the target.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "start relay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[*connection]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetDelay delays data by d in each direction.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetOneWay starts or ends a cut of the direction from the target. Data held back
// during the cut is delivered afterwards, as TCP does after an interruption of a
// real link.
func (r *Relay) SetOneWay(cut bool) { r.targetCut.Store(cut) }

// Silence stops forwarding on all open connections without closing them. New
// connections are not affected.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceAll()
}

// SetBlocked starts or ends a block. Connections that are open at its start or
// opened during it stay open but never forward data again.
func (r *Relay) SetBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	if blocked {
		r.silenceAll()
	}
}

// CloseConnections closes all open connections, including silenced ones.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.CloseConnections()
}

// silenceAll stops forwarding on all open connections. The caller must hold
// r.mu.
func (r *Relay) silenceAll() {
	for c := range r.conns {
		c.silence()
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
	c := &connection{in: in, silenced: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		_ = in.Close()
		return
	}
	r.conns[c] = struct{}{}
	blocked := r.blocked
	if blocked {
		c.silence()
	}
	r.mu.Unlock()
	if blocked {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		r.remove(c)
		return
	}
	r.mu.Lock()
	c.out = out
	if c.closed {
		_ = out.Close()
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(c, in, out, nil) })
	wg.Go(func() { r.forward(c, out, in, &r.targetCut) })
	wg.Wait()
	select {
	case <-c.silenced:
		// The connection stays open until CloseConnections or Close.
	default:
		r.remove(c)
	}
}

func (r *Relay) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.close()
}

// chunk is data that is forwarded once it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// cutPollInterval is the interval between checks whether a one-way cut has
// ended.
const cutPollInterval = 5 * time.Millisecond

// forward forwards one direction until the connection ends or is silenced. If
// cut is not nil, it holds data back while cut is true.
func (r *Relay) forward(c *connection, from, to net.Conn, cut *atomic.Bool) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			select {
			case <-c.silenced:
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
	stopped := false
	for ch := range queue {
		if wait := time.Until(ch.due); wait > 0 {
			time.Sleep(wait)
		}
		for cut != nil && cut.Load() {
			time.Sleep(cutPollInterval)
		}
		select {
		case <-c.silenced:
			stopped = true
		default:
		}
		if !stopped {
			_, err := to.Write(ch.data)
			stopped = err != nil
		}
	}
	select {
	case <-c.silenced:
	default:
		// Pass on the half-close. The connection ends once both sides have closed.
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

// silence stops forwarding. Read deadlines in the past end pending reads at once.
func (c *connection) silence() {
	c.silenceOnce.Do(func() {
		close(c.silenced)
		_ = c.in.SetReadDeadline(time.Now())
		if c.out != nil {
			_ = c.out.SetReadDeadline(time.Now())
		}
	})
}

// close closes both sides. The caller must hold the relay's mutex.
func (c *connection) close() {
	c.closed = true
	_ = c.in.Close()
	if c.out != nil {
		_ = c.out.Close()
	}
}
