package runner

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/admitter"
	"crocustack/core/configurer"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/informer"
	"crocustack/core/isolator"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/releaser"
	"crocustack/core/router"
	"crocustack/core/spreader"
	"crocustack/core/timekeeper"
	"crocustack/core/watcher"
	"crocustack/crocusd/internal/administrator"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/listener"
	"crocustack/crocusd/internal/prober"
	"crocustack/crocusd/internal/replicator"
	"crocustack/crocusd/internal/server"
	"crocustack/crocusd/internal/synchronizer"
	"crocustack/crocusd/internal/tracer"
)

// recentDecisions is the number of recent decisions that are kept for the admin
// API.
const recentDecisions = 4096

const (
	// drainNotice is how long a draining node still responds to callers, with
	// Draining and "Connection: close". Closing the listener at once would
	// reset requests that callers have just sent on keep-alive connections.
	drainNotice = time.Second
)

// Node is a running node.
type Node struct {
	cfg     configurer.Settings
	log     logr.Logger
	self    gatekeeper.Incarnation
	clock   timekeeper.Clock
	started time.Time

	rec     *recorder.Recorder
	links   *linker.Manager
	router  *router.Router
	levels  *admitter.Levels
	handler *handler.Handler
	forward *forwarder.Forwarder
	server  *server.Server
	sync    *synchronizer.Synchronizer
	// replicator keeps the table of suspected requests the same as that of the peers.
	replicator *replicator.Replicator

	// applied is the latest snapshot that was applied. Only apply uses it, which
	// is never called concurrently.
	applied synchronizer.Snapshot
	// flushLog writes the remaining log lines. Nothing is logged after it.
	flushLog func() error

	drainOnce sync.Once
	// drain is closed when a graceful stop is requested.
	drain chan struct{}
}

// New builds a node from its settings. It opens no sockets.
func New(cfg configurer.Settings, out io.Writer) (*Node, error) {
	lines := recorder.NewLogQueue(out)
	program, decisions, err := recorder.NewLogger(lines, lines, cfg.Log.Level, cfg.Log.Format, cfg.Log.Decisions)
	if err != nil {
		return nil, err
	}
	backend, err := handler.NewHTTPBackend(cfg.Backend.URL)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, log: program, flushLog: lines.Close, clock: timekeeper.NewClock(), started: time.Now(), drain: make(chan struct{}),
		self: gatekeeper.Incarnation{Service: cfg.Node.Service, Address: cfg.Node.Link, BootID: gatekeeper.NewBootID()},
	}
	n.rec = recorder.New(decisions, recentDecisions)
	n.rec.ReportDropped(lines)
	panics := isolator.New(program, n.rec.Registry())
	n.levels = admitter.NewLevels()
	runs, calls := tracer.NewRegistry(), tracer.NewCalls()
	suspects := quarantiner.NewTable()
	suspects.Register(n.rec.Registry())
	n.router = router.New(router.Config{}, cfg.Node.Domain, cfg.Node.Region, n.self.BootID)
	n.links = linker.New(linker.Config{
		DialTimeout: time.Second, SilentAfter: cfg.Timing.SilentAfter, AbandonAfter: cfg.Timing.AbandonAfter, IdleTimeout: cfg.Timing.LinkIdle,
		Isolator: panics,
	}, program, n)
	passThrough := cfg.Policy == configurer.PolicyPassThrough
	n.handler = handler.New(handler.Config{
		MaxBodyBytes: int64(cfg.Limits.MaxBodyBytes), HoldAnswerBytes: int64(cfg.Limits.HoldAnswerBytes),
		PassThrough: passThrough, PauseThreshold: cfg.Timing.PauseThreshold,
		Admission: admitter.Config{Slots: max(cfg.Backend.SlotsHint, 1)},
		Gate: gatekeeper.Config{
			MaxRecords: cfg.Limits.MaxRecords, MaxAnswerBytes: int(cfg.Limits.MaxAnswerBytes),
			MaxBytesPerAnswer: int(cfg.Limits.HoldAnswerBytes), TicketLifetime: cfg.Limits.TicketLifetime,
		},
		Suspects: suspects,
	}, backend, n.self, n.clock, runs, calls, n.levels, n.rec)
	n.forward = forwarder.New(forwarder.Config{
		HoldAnswerBytes: int(cfg.Limits.HoldAnswerBytes), TicketLifetime: cfg.Limits.TicketLifetime,
		PassThrough: passThrough, CheckService: true, FindUpstreams: n.findUpstreams, Suspects: suspects,
	}, n.self.BootID, n.clock, n.links, n.router, n.levels, calls, n.rec)
	n.server = server.New(server.Config{
		Service: cfg.Node.Service, MaxBodyBytes: int64(cfg.Limits.MaxBodyBytes), BufferBytes: int64(cfg.Limits.BufferBytes),
	}, n.view, n.Ready, n.forward, runs, n.rec)
	n.replicator = replicator.New(n.self.Address, suspects, n.links, n.clock, program, panics)
	planner := watcher.DefaultPlannerConfig
	planner.Wait = cfg.Timing.WatchWait
	n.sync = synchronizer.New(synchronizer.Config{
		Service: cfg.Node.Service, Address: cfg.Node.Link, Domain: cfg.Node.Domain, Region: cfg.Node.Region,
		Seeds: cfg.Seeds, Seed: n.self.BootID, Planner: planner, Spreader: spreader.DefaultConfig,
		OnChange: n.apply, OnLeaving: n.peerLeaving, Log: program,
	}, network{n.links}, watcher.NewClient(cfg.Platform.URL, &http.Client{}))
	return n, nil
}

func (n *Node) view() releaser.View { return n.sync.Snapshot().View }

// Ready reports whether the node serves requests.
func (n *Node) Ready() bool { return n.sync.Snapshot().Ready }

// apply applies a new snapshot to the gate, the forwarder and the router.
func (n *Node) apply(s synchronizer.Snapshot) {
	now := n.clock.Now()
	n.recordChange(s)
	if svc, ok := s.View.Services[n.self.Service]; ok {
		n.handler.SetLimits(n.slots(s.View), svc.QueueTime, svc.QueueLength)
	}
	n.forward.SetServices(s.View.Services)
	for name := range s.View.Services {
		n.router.SetUpstreams(now, name, n.upstreams(s.Table, name))
	}
	n.replicator.SetMembers(memberAddresses(s.Table))
}

// memberAddresses returns the link addresses of all instances in the table.
func memberAddresses(t watcher.Table) []string {
	var addresses []string
	for _, domain := range t.Domains() {
		for _, i := range t.Domain(domain) {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses
}

// recordChange records decisions when the release or the reader role has
// changed.
func (n *Node) recordChange(s synchronizer.Snapshot) {
	number, digest := s.Catalogue.HighestStamp()
	record := func(k recorder.Kind, detail string) {
		n.rec.Record(recorder.Decision{Time: time.Now(), Kind: k, Service: n.self.Service, Detail: detail})
	}
	if s.Catalogue.Digest() != n.applied.Catalogue.Digest() {
		record(recorder.KindNote, fmt.Sprintf("note %d %s in force", number, releaser.FormatDigest(digest)))
	}
	if s.Reader != n.applied.Reader {
		record(recorder.KindReader, fmt.Sprintf("reader of %s: %t", n.cfg.Node.Domain, s.Reader))
	}
	n.applied = s
}

// slots returns the maximum number of concurrent requests of the backend server.
func (n *Node) slots(v releaser.View) int {
	if n.cfg.Backend.SlotsHint > 0 {
		return n.cfg.Backend.SlotsHint
	}
	return v.Services[n.self.Service].Slots
}

// upstreams returns the live upstreams of a service. It starts draining this
// node if the table lists the node itself as leaving.
func (n *Node) upstreams(t watcher.Table, service string) []router.Upstream {
	var us []router.Upstream
	for _, i := range t.Service(service) {
		if i.State == watcher.StateLive {
			us = append(us, router.Upstream{Service: i.Service, Address: i.Address, Domain: i.Domain, Region: i.Region})
			continue
		}
		if i.Address == n.self.Address && i.State == watcher.StateLeaving {
			n.startDraining()
		}
	}
	return us
}

const (
	// findTimeout is the maximum time to wait for the instances of a service
	// that this node has not called before.
	findTimeout = time.Second
	// findInterval is the time between two look-ups in the table.
	findInterval = 20 * time.Millisecond
)

// findUpstreams subscribes to the instances of a service of which the node knows
// none, and waits until some are known. It returns false if none are known
// within findTimeout.
func (n *Node) findUpstreams(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	n.sync.AddInterest(service)
	for len(n.router.Subset(service)) == 0 {
		if ctx.Err() != nil {
			return false
		}
		timekeeper.Sleep(ctx, findInterval)
	}
	return true
}

// gcPercent lets the heap grow to five times its live size before a garbage
// collection. The live heap of a node is a few megabytes, so at the default of
// 100 a collection would run many times per second.
const gcPercent = 400

// softMemoryLimit makes garbage collections more frequent when memory use comes
// near it. Request bodies can bring it there: the default of their buffer budget
// is 64 MB.
const softMemoryLimit = 256 << 20

// callerBounds limits how long clients may keep a connection open without
// sending the headers of a request.
var callerBounds = listener.Fixed(listener.Bounds{Header: 10 * time.Second, Idle: 2 * time.Minute})

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(softMemoryLimit)
	}
	link, err := net.Listen("tcp", cmp.Or(n.cfg.Node.Listen, n.cfg.Node.Link))
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	defer func() { _ = link.Close() }()
	entry, err := listener.Serve(n.log, n.cfg.Node.Entry, n.server.Entry(), callerBounds)
	if err != nil {
		return err
	}
	outbound, err := listener.Serve(n.log, n.cfg.Node.Outbound, n.server.Outbound(), callerBounds)
	if err != nil {
		return err
	}
	admin, err := listener.Serve(n.log, n.cfg.Node.Admin, administrator.Handler(n, n.rec), callerBounds)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = n.links.Serve(link) }()
	go n.handler.Run(inner)
	go n.handler.NotifySenders(inner, n.links)
	go n.replicator.Run(inner)
	go func() { _ = n.sync.Run(inner) }()
	if n.cfg.Backend.HealthPath != "" {
		go prober.New(n.cfg.Backend.URL+n.cfg.Backend.HealthPath).Run(inner, n.startDraining)
	}
	n.log.Info("node started", "Service", n.self.Service, "Link", n.self.Address, "Domain", n.cfg.Node.Domain, "BootID", informer.Digest(n.self.BootID).String())

	select {
	case <-ctx.Done():
	case <-n.drain:
	}
	n.stop(entry, outbound)
	n.links.Close()
	err = errors.CombineErrors(admin.Close(), n.flushLog())
	return errors.Wrap(err, "stop")
}

// startDraining makes the gate refuse new requests and notifies all peers.
func (n *Node) startDraining() {
	if n.handler.Draining() {
		return
	}
	n.handler.StartDraining()
	n.links.Broadcast(&encoder.Control{Message: &encoder.Control_Leaving{Leaving: &encoder.Leaving{}}})
}

// stop drains the node: it waits for the requests in flight, at most for the
// drain timeout.
func (n *Node) stop(entry, outbound *listener.Listener) {
	n.startDraining()
	n.log.Info("drain begins", "Timeout", n.cfg.DrainTimeout.String())
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	n.server.StartDraining()
	timekeeper.Sleep(ctx, drainNotice)
	if err := entry.Stop(ctx); err != nil {
		n.log.Error(err, "requests of callers aborted at the end of the drain timeout", "Active", n.server.Active())
	}
	if err := n.waitForRuns(ctx); err != nil {
		n.log.Error(err, "requests at the backend server aborted at the end of the drain timeout", "Active", n.handler.Active())
	}
	_ = outbound.Stop(ctx)
	timekeeper.Sleep(ctx, linker.CloseDelay)
	n.log.Info("drain ended")
}

// waitForRuns waits until no request is active at the gate or ctx ends.
func (n *Node) waitForRuns(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for n.handler.Active() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Drain implements administrator.Node.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.startDraining()
		close(n.drain)
	})
}
