package composer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/admitter"
	"crocustack/core/configurer"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/recorder"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/administrator"
	"crocustack/crocusd/internal/dispatcher"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/listener"
	"crocustack/crocusd/internal/tracer"
	"crocustack/platform"
)

const (
	// recentDecisions is the number of decisions that the admin API can show.
	recentDecisions = 1024
	// linkDialTimeout bounds a new link; the other domains of a region are some
	// milliseconds away.
	linkDialTimeout = 400 * time.Millisecond
	// freeMoves is how often a request goes on to another upstream when the
	// backend server has not seen it.
	freeMoves = 2
	// slowStart is the time until a new upstream has its full weight. Most
	// backend servers are warm after 3 s.
	slowStart = 3 * time.Second
	// leavingTime is how long the address of a leaving node is avoided: the
	// platform ends a process 6 s after SIGTERM at the latest.
	leavingTime = 8 * time.Second
	// maxAnswerBytes bounds the answers that the gate keeps for replays. A
	// sender that lost its link asks within a second.
	maxAnswerBytes = 4 << 20
	// maxRecords bounds the attempts that the gate remembers.
	maxRecords = 8192
	// holdAnswerBytes is the size up to which an answer is held until it is
	// whole; longer ones are streamed.
	holdAnswerBytes = 256 << 10
	// gcPercent lets the heap grow to four times its live size, which is a few
	// megabytes.
	gcPercent = 300
	// softMemoryLimit makes the collector work harder near this size.
	softMemoryLimit = 160 << 20
)

// clientTimeouts are longer than what the operators allow a client.
var clientTimeouts = listener.Timeouts{Header: 10 * time.Second, Idle: 2 * time.Minute}

// Node is a node on the users' platform.
type Node struct {
	cfg    configurer.Settings
	bounds atomic.Pointer[platform.Bounds]
	log    logr.Logger
	self   gatekeeper.Incarnation
	clock  timekeeper.Clock

	rec      *recorder.Recorder
	links    *linker.Manager
	router   *router.Router
	handler  *handler.Handler
	forward  *forwarder.Forwarder
	dispatch *dispatcher.Dispatcher
	backend  *platform.Backend
	store    *platform.Store
	// leaving is true once the process was asked to end.
	leaving atomic.Bool
	// news is what peers have read of the store.
	news *news
	// service is the service of the backend server next door.
	service atomic.Pointer[string]
	// regions holds the region of each failure domain that the settings name.
	regions map[string]string
	// linkPort is the port of links on all machines, backendHost the address of
	// this one.
	linkPort, backendHost string

	flushLog func() error
}

// New puts a node together. It opens no socket.
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
		linkPort: port, backendHost: host, regions: regionsOf(cfg.Platform.Regions), news: newNews(),
		store: platform.NewStore(hostOf(cfg.Platform.URL)), backend: platform.NewBackend(hostOf(cfg.Backend.URL)),
	}
	n.service.Store(&cfg.Node.Service)
	n.bounds.Store(&bounds)
	n.rec = recorder.New(decisions, recentDecisions)
	n.rec.ReportDropped(lines)
	n.compose()
	return n, nil
}

// compose builds the parts of the node.
func (n *Node) compose() {
	levels := admitter.NewLevels()
	runs, calls := tracer.NewRegistry(), tracer.NewCalls()
	n.router = router.New(router.Config{SlowStart: slowStart, LeavingTime: leavingTime, LastResort: true}, n.cfg.Node.Domain, n.cfg.Node.Region, n.self.BootID)
	n.links = linker.New(linker.Config{
		DialTimeout: linkDialTimeout, SilentAfter: n.cfg.Timing.SilentAfter, AbandonAfter: n.cfg.Timing.AbandonAfter, Idle: n.cfg.Timing.LinkIdle,
	}, n.log, n)
	n.handler = handler.New(handler.Config{
		MaxBodyBytes: int64(n.cfg.Limits.MaxBodyBytes), HoldAnswerBytes: holdAnswerBytes,
		PauseThreshold: n.cfg.Timing.PauseThreshold, TokenIsRequest: true,
		Admission: admitter.Config{Slots: 1, CapacityKnown: true},
		Gate:      gatekeeper.Config{MaxRecords: maxRecords, MaxAnswerBytes: maxAnswerBytes, MaxAnswer: holdAnswerBytes},
	}, n.backend, n.self, n.clock, runs, calls, levels, n.rec)
	n.forward = forwarder.New(forwarder.Config{
		HoldAnswerBytes: holdAnswerBytes, FreeMoves: freeMoves, OnRevision: n.news.tell,
		Find: func(context.Context, string) bool { return false },
	}, n.self.BootID, n.clock, n.links, n.router, levels, calls, n.rec)
	n.dispatch = dispatcher.New(n.forward, runs, n.rec)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimit)
	link, err := net.Listen("tcp", cmp.Or(n.cfg.Node.Listen, n.cfg.Node.Link))
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	defer func() { _ = link.Close() }()
	outbound, err := listener.Serve(n.log, n.cfg.Node.Outbound, platform.NewIngress(n.dispatch, func() string { return *n.service.Load() }), clientTimeouts)
	if err != nil {
		return err
	}
	ready, err := listener.Serve(n.log, n.cfg.Node.Ready, platform.NewReadiness(n.dispatch), clientTimeouts)
	if err != nil {
		return err
	}
	admin, err := listener.Serve(n.log, n.cfg.Node.Admin, administrator.Metrics(n.rec), clientTimeouts)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = n.links.Serve(link) }()
	go n.handler.Run(inner)
	go n.follow(inner)
	n.log.Info("node started", "Service", n.self.Service, "Link", n.self.Address, "Domain", n.cfg.Node.Domain)

	<-ctx.Done()
	n.stop(outbound)
	n.links.Close()
	return errors.Wrap(errors.CombineErrors(errors.CombineErrors(admin.Close(), ready.Close()), n.flushLog()), "stop")
}

const (
	// noticeTime is how long a leaving node goes on taking requests: clients
	// stop after two readiness questions, which come once a second. What is taken
	// later could not end before the process does.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace time the process ends
	// whatever is left.
	stopMargin = 500 * time.Millisecond
	// stopPoll is the time between two looks at what is still in flight.
	stopPoll = 20 * time.Millisecond
)

// stop finishes what is in flight within the grace time.
func (n *Node) stop(outbound *http.Server) {
	n.log.Info("drain begins", "Grace", n.bounds.Load().Grace.String())
	ctx, cancel := context.WithTimeout(context.Background(), n.bounds.Load().Grace-stopMargin)
	defer cancel()
	n.dispatch.Leave()
	n.announce()
	timekeeper.Sleep(ctx, noticeTime)
	n.dispatch.Close()
	n.handler.Leave()
	for ctx.Err() == nil && (n.handler.Active() > 0 || n.dispatch.Active() > 0) {
		timekeeper.Sleep(ctx, stopPoll)
	}
	if err := outbound.Shutdown(ctx); err != nil {
		n.log.Error(err, "requests cut off at the end of the grace time", "Active", n.dispatch.Active())
	}
	timekeeper.Sleep(ctx, linker.Linger)
	n.log.Info("drain ended", "Active", n.handler.Active())
}

// announce tells all peers that this node is leaving. They send requests to
// others from then on, and to this one only when there is no other.
func (n *Node) announce() {
	n.leaving.Store(true)
	n.links.Broadcast(&encoder.Control{Message: &encoder.Control_Leaving{Leaving: &encoder.Leaving{}}})
}

// regionsOf reads texts of the form domain=region.
func regionsOf(texts []string) map[string]string {
	regions := make(map[string]string, len(texts))
	for _, text := range texts {
		if domain, region, ok := strings.Cut(text, "="); ok {
			regions[domain] = region
		}
	}
	return regions
}

// hostOf takes the scheme off an address.
func hostOf(origin string) string {
	for _, scheme := range []string{"http://", "https://"} {
		if len(origin) > len(scheme) && origin[:len(scheme)] == scheme {
			return origin[len(scheme):]
		}
	}
	return origin
}
