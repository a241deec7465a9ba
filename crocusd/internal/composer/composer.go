package composer

import (
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/admitter"
	"crocustack/core/arbiter"
	"crocustack/core/authenticator"
	"crocustack/core/bodyreader"
	"crocustack/core/configurer"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/informer"
	"crocustack/core/isolator"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/administrator"
	"crocustack/crocusd/internal/apportioner"
	"crocustack/crocusd/internal/dispatcher"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/listener"
	"crocustack/crocusd/internal/pipeliner"
	"crocustack/crocusd/internal/replicator"
	"crocustack/crocusd/internal/tracer"
	"crocustack/platform"
)

const (
	// recentDecisions is the number of decisions that are kept for the admin API.
	recentDecisions = 1024
	// linkDialTimeout bounds the opening of a link. Other failure domains of the
	// region have a latency of some milliseconds.
	linkDialTimeout = 400 * time.Millisecond
	// maxTransparentRetries bounds how often a request that has not reached a
	// backend server is sent to another upstream without spending a unit of
	// allowance.
	maxTransparentRetries = 2
	// slowStart is the time until a new upstream has its full weight. Most backend
	// servers are warmed up after 3 s.
	slowStart = 3 * time.Second
	// leavingTime is how long the address of a leaving node is avoided. The
	// platform kills a process 6 s after SIGTERM at the latest.
	leavingTime = 8 * time.Second
	// maxAnswerBytes bounds the memory for answers that the gate keeps for
	// replays. A sender that has lost its link asks for the answer within a
	// second.
	maxAnswerBytes = 4 << 20
	// maxRecords bounds the number of attempts that the gate keeps records of.
	maxRecords = 8192
	// holdAnswerBytes is the size up to which an answer is buffered until it is
	// complete; longer answers are streamed.
	holdAnswerBytes = 256 << 10
	// gcPercent lets the heap grow to four times the live heap, which is only a
	// few megabytes.
	gcPercent = 300
	// defaultMemory is the memory of a process for which the settings name none: that
	// of the smallest machine.
	defaultMemory = 184e6
	// softMemoryShare is the fraction of the memory near which the garbage collector
	// runs more often.
	softMemoryShare = 0.62
	// bodyMemoryShare is the fraction of the memory for request bodies that are held.
	// The largest body that operators allow, 64 MiB, fits into that of the smallest
	// machine. ordinaryBodyMemoryShare is kept for short bodies.
	bodyMemoryShare         = 0.38
	ordinaryBodyMemoryShare = 0.07
	// clientDescriptorShare is the fraction of the descriptors for connections of
	// clients. The others are for links, the backend server, the store and files.
	clientDescriptorShare = 0.6
)

// controlBounds are the bounds of the listeners that the platform's own tools use.
var controlBounds = listener.Fixed(listener.Bounds{Header: 10 * time.Second, Idle: 2 * time.Minute, Connections: 64})

// readyBounds returns the bounds of the listener for readiness checks, which anybody may
// reach.
func readyBounds() pipeliner.Bounds {
	b := controlBounds()
	return pipeliner.Bounds{Header: b.Header, Idle: b.Idle, Connections: b.Connections}
}

// Node is a node that runs on the users' platform.
type Node struct {
	cfg    configurer.Settings
	bounds atomic.Pointer[platform.Bounds]
	log    logr.Logger
	self   gatekeeper.Incarnation
	clock  timekeeper.Clock

	rec      *recorder.Recorder
	isolator *isolator.Isolator
	links    *linker.Manager
	router   *router.Router
	handler  *handler.Handler
	forward  *forwarder.Forwarder
	dispatch *dispatcher.Dispatcher
	backend  *platform.Backend
	// evidence shows how recently the configuration was the newest one.
	evidence *authenticator.Evidence
	// refresh has a capacity of 1 and makes readStore ask the store at once.
	refresh chan struct{}
	// storeLost is true while reads of the store fail.
	storeLost atomic.Bool
	// read is the position up to which the store was read.
	read atomic.Pointer[connector.Position]
	// apportioner applies the rate limits of organisations.
	apportioner *apportioner.Apportioner
	// levels holds the admission levels that called services reported.
	levels *admitter.Levels
	// bodies bounds the request bodies that are held at the entry and at the gate.
	bodies *bodyreader.Budget
	store  *platform.Store
	// replicator keeps the table of suspected requests the same as that of the peers.
	replicator *replicator.Replicator
	// leaving is true once the node has begun to shut down.
	leaving atomic.Bool
	// peerPosition tracks the latest position of the store that a peer has read.
	peerPosition *peerPosition
	// service is the service of the local backend server.
	service atomic.Pointer[string]
	// regions maps the failure domains in the settings to their regions.
	regions map[string]string
	// arbiter decides which entries of the store count for each machine. leftOut holds the
	// others in the view in force.
	arbiter *arbiter.Arbiter
	leftOut atomic.Pointer[[]connector.Member]
	// outboundGauges holds the services with a gauge of their own. Only readStore uses it.
	outboundGauges map[string]bool
	// maxClients bounds the connections of clients.
	maxClients int
	// linkPort is the port for links, the same on all machines. backendHost is the
	// address of this machine.
	linkPort, backendHost string

	flushLog func() error
}

// New creates a node. It opens no sockets.
func New(cfg configurer.Settings, out io.Writer) (*Node, error) {
	bounds, err := platform.DecodeBounds(cfg.Platform.Bounds)
	if err != nil {
		return nil, errors.Wrap(err, "settings: Platform.Bounds")
	}
	lines := recorder.NewLogQueue(out)
	program, decisions, err := recorder.NewLogger(lines, lines, cfg.Log.Level, cfg.Log.Format, cfg.Log.Decisions)
	if err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(cfg.Node.Link)
	if err != nil {
		return nil, errors.Wrap(err, "settings: Node.Link")
	}
	n := &Node{
		cfg: cfg, log: program, flushLog: lines.Close, clock: timekeeper.NewClock(),
		self:     gatekeeper.Incarnation{Service: cfg.Node.Service, Address: cfg.Node.Link, BootID: gatekeeper.NewBootID()},
		linkPort: port, backendHost: host, regions: regionsOf(cfg.Platform.Regions), peerPosition: newPeerPosition(),
		arbiter: arbiter.New(), outboundGauges: make(map[string]bool), refresh: make(chan struct{}, 1),
		maxClients: int(clientDescriptorShare * float64(descriptors(cfg.Limits.Descriptors))),
		store:      platform.NewStore(hostOf(cfg.Platform.URL)), backend: platform.NewBackend(hostOf(cfg.Backend.URL)),
	}
	n.service.Store(&cfg.Node.Service)
	n.bounds.Store(&bounds)
	n.rec = recorder.New(decisions, recentDecisions)
	n.rec.ReportDropped(lines)
	n.isolator = isolator.New(program, n.rec.Registry())
	n.compose()
	return n, nil
}

// compose creates the components of the node and connects them.
func (n *Node) compose() {
	n.evidence = &authenticator.Evidence{}
	n.registerEvidence()
	n.registerLeftOut()
	n.bodies = bodyreader.NewBudget(int64(bodyMemoryShare*n.memory()), int64(ordinaryBodyMemoryShare*n.memory()))
	levels := admitter.NewLevels()
	n.levels = levels
	runs, calls := tracer.NewRegistry(), tracer.NewCalls()
	suspects := quarantiner.NewTable()
	suspects.Register(n.rec.Registry())
	n.router = router.New(router.Config{SlowStart: slowStart, LeavingTime: leavingTime, LastResort: true, CrossDomainCost: n.cfg.Routing.CrossDomainCost}, n.cfg.Node.Domain, n.cfg.Node.Region, n.self.BootID)
	n.links = linker.New(linker.Config{
		DialTimeout: linkDialTimeout, SilentAfter: n.cfg.Timing.SilentAfter, AbandonAfter: n.cfg.Timing.AbandonAfter, IdleTimeout: n.cfg.Timing.LinkIdle,
		Isolator: n.isolator,
	}, n.log, n)
	n.handler = handler.New(handler.Config{
		// The configuration bounds bodies where they enter.
		MaxBodyBytes: math.MaxInt64, HoldAnswerBytes: holdAnswerBytes, Bodies: n.bodies, Evidence: n.evidence,
		// The apportioner is created below, before any link is opened.
		ServeTake:      func(m *encoder.Take) *encoder.TakeReply { return n.apportioner.Serve(m) },
		PauseThreshold: n.cfg.Timing.PauseThreshold, RequestIDAsToken: true,
		Admission:       admitter.Config{Slots: 1, CapacityKnown: true},
		Gate:            gatekeeper.Config{MaxRecords: maxRecords, MaxAnswerBytes: maxAnswerBytes, MaxBytesPerAnswer: holdAnswerBytes},
		Suspects:        suspects,
		OnOtherInstance: func(instance string) { n.refuteInstance(n.backendHost, instance) },
	}, n.backend, n.self, n.clock, runs, calls, levels, n.rec)
	n.apportioner = apportioner.New(n.apportionerConfig(), n.links, n.clock, n.rec.Registry())
	n.forward = forwarder.New(forwarder.Config{
		HoldAnswerBytes: holdAnswerBytes, MaxTransparentRetries: maxTransparentRetries, OnPosition: n.peerPosition.observe, OnEvidence: n.observeEvidence,
		OnOtherInstance: func(address, instance string) { n.refuteInstance(hostOnly(address), instance) },
		FindUpstreams:   func(context.Context, string) bool { return false }, Suspects: suspects,
	}, n.self.BootID, n.clock, n.links, n.router, levels, calls, n.rec)
	n.dispatch = dispatcher.New(n.forward, runs, n.rec, dispatcher.Keys{Proven: n.provenKeys, Limits: n.apportioner})
	n.replicator = replicator.New(n.self.Address, suspects, n.links, n.clock, n.log, n.isolator)
}

// Run serves until ctx is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softMemoryShare * n.memory()))
	link, err := net.Listen("tcp", cmp.Or(n.cfg.Node.Listen, n.cfg.Node.Link))
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	defer func() { _ = link.Close() }()
	ingress := platform.NewIngress(n.dispatch, func() string { return *n.service.Load() }, n.bodies, pipeliner.Heavy)
	outbound, err := pipeliner.Serve(n.log, n.cfg.Node.Outbound, pipeliner.Config{
		Handler: platform.Isolated(n.isolator, ingress), Early: ingress.Early, Bounds: n.clientBounds, Budget: n.bodies,
	})
	if err != nil {
		return err
	}
	ready, err := pipeliner.Serve(n.log, n.cfg.Node.Ready, pipeliner.Config{
		Handler: platform.NewReadiness(n.dispatch), Early: func(*http.Request) bool { return false }, Bounds: readyBounds, Budget: n.bodies,
	})
	if err != nil {
		return err
	}
	admin, err := listener.Serve(n.log, n.cfg.Node.Admin, administrator.Hosted(n, n.rec), controlBounds)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = n.links.Serve(link) }()
	go n.handler.Run(inner)
	go n.handler.NotifySenders(inner, n.links)
	go n.readStore(inner)
	go n.replicator.Run(inner)
	n.log.Info("node started", "Service", n.self.Service, "Link", n.self.Address, "Domain", n.cfg.Node.Domain)

	<-ctx.Done()
	n.shutdown(outbound)
	n.links.Close()
	return errors.Wrap(errors.CombineErrors(errors.CombineErrors(admin.Close(), ready.Close()), n.flushLog()), "stop")
}

// Route explains where a request would go now.
func (n *Node) Route(q informer.RouteQuery) informer.RouteAnswer {
	return n.dispatch.Explain(n.clock.Now(), q, n.router, n.levels)
}

// memory returns the memory of the process in bytes.
func (n *Node) memory() float64 { return cmp.Or(float64(n.cfg.Limits.Memory), defaultMemory) }

// clientBounds returns what clients may use of their listener. The configuration states
// the times.
func (n *Node) clientBounds() pipeliner.Bounds {
	l := n.dispatch.Limits()
	return pipeliner.Bounds{
		Header: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout), HeaderBytes: int(l.HeaderBytes), Idle: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
		Connections: n.maxClients,
		Work:        int(workMemoryShare * n.memory() / workBytes), Stalled: int(stalledMemoryShare * n.memory() / stalledBytes),
	}
}

const (
	// workBytes is the memory of a request in work: goroutines, buffers and messages.
	// workMemoryShare is the fraction of the memory for all of them.
	workBytes       = 48 << 10
	workMemoryShare = 0.08
	// stalledBytes is the memory of an answer whose client doesn't read: a held part or
	// the window of a stream, and buffers. stalledMemoryShare is the fraction of the
	// memory for all of them.
	stalledBytes       = 320 << 10
	stalledMemoryShare = 0.08
)

// The times for clients while no configuration states them.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// descriptors returns the number of descriptors that the process may have. stated is
// that of the settings, or 0.
func descriptors(stated int) int {
	if stated > 0 {
		return stated
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	// defaultDescriptors is the number of descriptors if the limit is not known.
	defaultDescriptors = 1024
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 20
)

const (
	// drainDelay is how long a leaving node still accepts requests. Clients stop
	// sending after two readiness checks, which run once a second. Requests that
	// are accepted later could not end before the process does.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the node stops
	// waiting for requests in flight.
	shutdownMargin = 500 * time.Millisecond
	// shutdownPollInterval is the interval between checks for requests in flight.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdown stops the node within the grace period: it announces that the node
// is leaving, then refuses new requests and waits for those in flight to end.
func (n *Node) shutdown(outbound *pipeliner.Server) {
	n.log.Info("drain begins", "Grace", n.bounds.Load().Grace.String())
	ctx, cancel := context.WithTimeout(context.Background(), n.bounds.Load().Grace-shutdownMargin)
	defer cancel()
	n.dispatch.Leave()
	n.announceLeaving()
	timekeeper.Sleep(ctx, drainDelay)
	cut, _ := ctx.Deadline()
	n.dispatch.Close(cut)
	n.handler.StartDraining()
	for ctx.Err() == nil && (n.handler.Active() > 0 || n.dispatch.Active() > 0) {
		timekeeper.Sleep(ctx, shutdownPollInterval)
	}
	if err := outbound.Stop(ctx); err != nil {
		n.log.Error(err, "requests aborted at the end of the grace period", "Active", n.dispatch.Active())
	}
	timekeeper.Sleep(ctx, linker.CloseDelay)
	n.log.Info("drain ended", "Active", n.handler.Active())
}

// announceLeaving notifies all peers that this node is leaving. From then on
// they send it requests only when no other upstream is available.
func (n *Node) announceLeaving() {
	n.leaving.Store(true)
	n.links.Broadcast(&encoder.Control{Message: &encoder.Control_Leaving{Leaving: &encoder.Leaving{}}})
}

// regionsOf parses entries of the form domain=region and ignores others.
func regionsOf(texts []string) map[string]string {
	regions := make(map[string]string, len(texts))
	for _, text := range texts {
		if domain, region, ok := strings.Cut(text, "="); ok {
			regions[domain] = region
		}
	}
	return regions
}

// hostOf returns the origin without its scheme.
func hostOf(origin string) string {
	for _, scheme := range []string{"http://", "https://"} {
		if len(origin) > len(scheme) && origin[:len(scheme)] == scheme {
			return origin[len(scheme):]
		}
	}
	return origin
}
