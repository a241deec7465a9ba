package synchronizer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"crocustack/core/encoder"
	"crocustack/core/releaser"
	"crocustack/core/spreader"
	"crocustack/core/watcher"
)

// Network sends control messages to other nodes. Its owner calls Opened, Closed
// and Received of the Synchronizer.
type Network interface {
	// Send sends a message to a link address and dials it when no link is open.
	// It may block until the link is open or has failed.
	Send(address string, m *encoder.Control) error
	// Peers returns the handshakes received on the open links.
	Peers() []*encoder.Hello
}

// Platform reads keys of the platform; *watcher.Client implements it.
type Platform interface {
	Get(ctx context.Context, r watcher.Read) (watcher.Value, watcher.Result, error)
}

// Config describes the node and its limits.
type Config struct {
	Service, Address, Domain, Region string
	// Interest names further services whose instances the node needs; the own
	// service and the services that it calls are always included.
	Interest []string
	// Seeds holds link addresses of peers that are used in addition to the
	// known instances of the own domain, such as before its list has been read.
	// Optional.
	Seeds []string
	// Tick is the resolution of timers; 0 means 100 ms.
	Tick time.Duration
	// Seed seeds the random number generator of this node.
	Seed     uint64
	Planner  watcher.PlannerConfig
	Spreader spreader.Config
	// OnChange is called when there is a new snapshot, never concurrently.
	// Intermediate snapshots may be skipped.
	OnChange func(Snapshot)
	// OnLeaving is called when a peer announces that it is leaving.
	OnLeaving func(address string)
	Log       logr.Logger
}

// Snapshot is the state of a node at one point in time. It is immutable.
type Snapshot struct {
	View      releaser.View
	Catalogue releaser.Catalogue
	Table     watcher.Table
	// Ready is true once the initial synchronization with a peer and with the
	// platform is complete, or these could not be reached.
	Ready bool
	// Reader is true while the node is a reader: it reads the platform for its
	// domain.
	Reader bool
	// Since is the time of the last change of the catalogue, measured from the
	// call of New.
	Since time.Duration
}

const (
	// senders is the number of goroutines that send messages. A dial to an
	// unreachable peer blocks one of them until it fails.
	senders = 4
	// sendQueueLength bounds the queue of messages to send. Messages beyond it are
	// dropped; a later comparison of digests repairs the loss.
	sendQueueLength = 1024
)

// Synchronizer runs the engine of one node: it adds the lock, the timer, the
// queue of messages and the platform reads. It is safe for concurrent use.
type Synchronizer struct {
	cfg       Config
	network   Network
	platform  Platform
	start     time.Time
	snapshot  atomic.Pointer[Snapshot]
	dropped   atomic.Uint64
	reads     atomic.Uint64
	sendQueue chan outgoing
	readQueue chan watcher.Read
	// notify wakes the caller of OnChange. It has capacity 1, so a pending
	// element stands for any number of changes.
	notify chan struct{}

	mu     sync.Mutex
	engine *engine
}

// New returns a Synchronizer that sends and reads nothing until Run is called.
// If platform is nil, all reads fail.
func New(cfg Config, network Network, platform Platform) *Synchronizer {
	if cfg.Tick == 0 {
		cfg.Tick = 100 * time.Millisecond
	}
	if cfg.Log.GetSink() == nil {
		cfg.Log = logr.Discard()
	}
	s := &Synchronizer{
		cfg: cfg, network: network, platform: platform, start: time.Now(),
		sendQueue: make(chan outgoing, sendQueueLength), readQueue: make(chan watcher.Read, 64), notify: make(chan struct{}, 1),
	}
	s.engine = newEngine(cfg, 0)
	s.engine.addInterest(0, cfg.Interest)
	s.publish()
	return s
}

// Snapshot returns the current state. It takes no lock.
func (s *Synchronizer) Snapshot() Snapshot { return *s.snapshot.Load() }

// Dropped returns the number of messages dropped because the queue was full.
func (s *Synchronizer) Dropped() uint64 { return s.dropped.Load() }

// Reads returns the number of platform reads started.
func (s *Synchronizer) Reads() uint64 { return s.reads.Load() }

// Hello returns a handshake with the fields that this package provides.
func (s *Synchronizer) Hello() *encoder.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, _ := s.engine.catalogue.HighestStamp()
	return &encoder.Hello{
		Incarnation: &encoder.Incarnation{Service: s.cfg.Service, Address: s.cfg.Address},
		Domain:      s.cfg.Domain, Region: s.cfg.Region, CatalogueDigest: s.engine.catalogue.Digest(),
		NoteNumber: number, Interest: interestOf(s.engine.table.Scope()),
	}
}

// AddInterest adds services whose instances the node needs, such as a service
// that a request names but the release doesn't list among the called ones.
func (s *Synchronizer) AddInterest(services ...string) {
	s.withLock(func(now time.Duration) { s.engine.addInterest(now, services) })
}

// Received handles a control message from a peer.
func (s *Synchronizer) Received(from string, m *encoder.Control) {
	if m.GetLeaving() != nil {
		if s.cfg.OnLeaving != nil {
			s.cfg.OnLeaving(from)
		}
		return
	}
	s.withLock(func(now time.Duration) { s.engine.receive(now, from, m) })
}

// Opened records that a link to a peer has opened.
func (s *Synchronizer) Opened(h *encoder.Hello) {
	s.withLock(func(now time.Duration) { s.engine.opened(now, h) })
}

// Closed records that the link to a peer has closed.
func (s *Synchronizer) Closed(address string) {
	s.withLock(func(time.Duration) { s.engine.closed(address) })
}

// Run sends messages, reads the platform and calls OnChange until the context
// is done.
func (s *Synchronizer) Run(ctx context.Context) error {
	for _, h := range s.network.Peers() {
		s.Opened(h)
	}
	g, ctx := errgroup.WithContext(ctx)
	for range senders {
		g.Go(func() error { return s.sendLoop(ctx) })
	}
	g.Go(func() error { return s.readLoop(ctx) })
	g.Go(func() error { return s.notifyLoop(ctx) })
	g.Go(func() error {
		t := time.NewTicker(s.cfg.Tick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
				s.tick()
			}
		}
	})
	return g.Wait()
}

func (s *Synchronizer) tick() {
	s.withLock(func(now time.Duration) {
		for _, r := range s.engine.tick(now) {
			s.reads.Add(1)
			select {
			case s.readQueue <- r:
			default:
				s.engine.planner.RecordResult(now, r.Key, watcher.ResultFailed, 0, 0)
			}
		}
	})
}

// withLock runs f under the lock, then queues the outgoing messages and publishes
// a snapshot if something changed.
func (s *Synchronizer) withLock(f func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Since(s.start))
	for _, o := range s.engine.takeMessages() {
		select {
		case s.sendQueue <- o:
		default:
			s.dropped.Add(1)
		}
	}
	s.publish()
}

func (s *Synchronizer) publish() {
	e := s.engine
	if !e.changed {
		return
	}
	e.changed = false
	s.snapshot.Store(&Snapshot{View: e.view, Catalogue: e.catalogue, Table: e.table, Ready: e.ready, Reader: e.reader, Since: e.since})
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *Synchronizer) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.sendQueue:
			if err := s.network.Send(o.address, o.message); err != nil {
				s.cfg.Log.V(1).Info("control message not sent", "Peer", o.address, "Error", err.Error())
				s.withLock(func(now time.Duration) { s.engine.sendFailed(now, o.address) })
			}
		}
	}
}

func (s *Synchronizer) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.notify:
			if s.cfg.OnChange != nil {
				s.cfg.OnChange(s.Snapshot())
			}
		}
	}
}

func (s *Synchronizer) readLoop(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case r := <-s.readQueue:
			g.Go(func() error {
				s.read(ctx, r)
				return nil
			})
		}
	}
}

func (s *Synchronizer) read(ctx context.Context, r watcher.Read) {
	var v watcher.Value
	result := watcher.ResultFailed
	if s.platform != nil {
		var err error
		if v, result, err = s.platform.Get(ctx, r); err != nil {
			s.cfg.Log.V(1).Info("platform read failed", "Key", r.Key, "Error", err.Error())
		}
	}
	var p platformValue
	if result == watcher.ResultValue {
		p = parseValue(r.Key, v)
	}
	s.withLock(func(now time.Duration) { s.engine.recordResult(now, r.Key, result, p) })
}
