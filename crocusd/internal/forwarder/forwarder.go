package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crocustack/core/admitter"
	"crocustack/core/budgeter"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/releaser"
	"crocustack/core/resolver"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/tracer"
)

// Config holds the settings of a Forwarder.
type Config struct {
	HoldAnswerBytes int
	TicketLifetime  time.Duration
	// PassThrough selects the baseline policy: no admission level checks and a
	// fixed number of attempts.
	PassThrough bool
	// FindUpstreams looks for upstreams of a service for which the router has
	// none. It may block briefly and returns true when it has found some.
	FindUpstreams func(ctx context.Context, service string) bool
	// OnPosition is called with the position of the store that a peer reports to
	// have read. It may be nil.
	OnPosition func(connector.Position)
	// CheckService makes the forwarder send requests only to nodes that state the service of
	// the request as their own. It is for lists of upstreams that name no instances, by which
	// a server could tell that a request is not for it.
	CheckService bool
	// OnOtherInstance is called when the backend server beside an upstream has refused a
	// request because it is not the instance that the request was for. It may be nil.
	OnOtherInstance func(address, instance string)
	// OnEvidence is called with the evidence that a peer stated in the answer to a
	// request sent at a time since boot. It may be nil.
	OnEvidence func(sent time.Duration, ld *encoder.Load)
	// MaxTransparentRetries bounds how often a request that has not reached a
	// backend server may be sent to another upstream without spending a unit of
	// allowance.
	MaxTransparentRetries int
	// Suspects holds what the node knows of requests under which servers ended; nil
	// for a table of the forwarder's own.
	Suspects *quarantiner.Table
}

// defaultRatioBurst is the default size of the retry token bucket. It lets a
// service with little traffic retry at all.
const defaultRatioBurst = 10

// Forwarder sends requests and retries them. It is safe for concurrent use.
type Forwarder struct {
	cfg     Config
	boot    uint64
	clock   timekeeper.Clock
	links   *linker.Manager
	router  *router.Router
	levels  *admitter.Levels
	calls   *tracer.Calls
	rec     *recorder.Recorder
	seq     *gatekeeper.Sequencer
	tickets *ticketCache

	mu sync.Mutex
	// burst is the size of the retry token bucket of each service.
	burst float64
	// ratios holds the retry budget of each service in the release. A budget is
	// replaced only when its share or burst changes.
	ratios map[string]serviceRatio
}

type serviceRatio struct {
	share, burst float64
	ratio        *budgeter.Ratio
}

// New returns a Forwarder for the sender incarnation with the given boot ID.
func New(cfg Config, boot uint64, clock timekeeper.Clock, links *linker.Manager, r *router.Router,
	levels *admitter.Levels, calls *tracer.Calls, rec *recorder.Recorder,
) *Forwarder {
	if cfg.Suspects == nil {
		cfg.Suspects = quarantiner.NewTable()
	}
	return &Forwarder{
		cfg: cfg, boot: boot, clock: clock, links: links, router: r, levels: levels, calls: calls, rec: rec,
		seq: gatekeeper.NewSequencer(), tickets: newTicketCache(), burst: defaultRatioBurst, ratios: make(map[string]serviceRatio),
	}
}

// DropTickets drops the cached tickets of an upstream that takes no new work.
func (f *Forwarder) DropTickets(address string) { f.tickets.drop(address) }

// SetRetryBurst changes the size of the retry token buckets. It takes effect
// with the next call of SetServices.
func (f *Forwarder) SetRetryBurst(burst float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.burst = burst
}

// SetServices applies the retry ratios of a new release.
func (f *Forwarder) SetServices(services map[string]releaser.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.ratios {
		if _, ok := services[name]; !ok {
			delete(f.ratios, name)
		}
	}
	for name, s := range services {
		if old, ok := f.ratios[name]; !ok || old.share != s.RetryRatio || old.burst != f.burst {
			f.ratios[name] = serviceRatio{share: s.RetryRatio, burst: f.burst, ratio: budgeter.NewRatio(s.RetryRatio, f.burst)}
		}
	}
}

// ratio returns the retry budget of a service. A service that is not in the
// release any more gets no retries.
func (f *Forwarder) ratio(service string) *budgeter.Ratio {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.ratios[service]; ok {
		return r.ratio
	}
	return budgeter.NewRatio(0, 0)
}

// Forward makes attempts until the outcome of the request is known or no
// further attempt is allowed. When the outcome is Ran, the sink has received
// the complete answer.
func (f *Forwarder) Forward(ctx context.Context, q Request, sink Sink) Result {
	if q.Depth == 0 && !f.cfg.PassThrough {
		q.AppliedLevel = f.levels.Effective(f.clock.Now(), q.Service, q.Kind.Name)
		if admitter.Priority(q.Class, q.TreeID) < q.AppliedLevel {
			return Result{Outcome: resolver.NotRun{Reason: resolver.ReasonLevelBelowDownstream}}
		}
	}
	if len(q.Body) > handler.MaxUnstatedBody {
		q.stated = quarantiner.StateBody(q.Body)
	}
	ratio := f.ratio(q.Service)
	ratio.Deposit()
	loop := &retryLoop{f: f, q: q, sink: &trackingSink{Sink: sink}, ratio: ratio}
	result := loop.run(ctx)
	result.HeadSent = loop.sink.headSent
	return result
}

// retryLoop is the state of one request across its attempts.
type retryLoop struct {
	f     *Forwarder
	q     Request
	sink  *trackingSink
	ratio *budgeter.Ratio
	// excluded holds the upstreams that refused or failed the request.
	excluded []string
	// unknown is the first Unknown outcome of an attempt, or nil. When it is set,
	// the outcome of the request can't be NotRun.
	unknown resolver.Outcome
	// rateRetries counts the attempts that were refused because of the rate limit of
	// a backend server and were followed by another one.
	rateRetries int
	// transparentRetries counts the attempts that ended before they reached a
	// backend server and were followed by another one without spending allowance.
	transparentRetries int
	// onProbation is true if the last upstream was chosen for a trial.
	onProbation bool
	result      Result
}

func (p *retryLoop) run(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, p.q.Deadline.Add(answerGrace))
	defer cancel()
	for {
		upstream, reason := p.choose()
		if reason == resolver.ReasonNoUpstream && p.result.Attempts == 0 && p.f.cfg.FindUpstreams(ctx, p.q.Service) {
			upstream, reason = p.choose()
		}
		if reason != resolver.ReasonNone {
			// The outcome of the last attempt, if any, is more specific than the
			// lack of a further upstream.
			if p.result.Outcome == nil {
				p.result.Outcome = resolver.NotRun{Reason: reason}
			}
			return p.result
		}
		t := &attempt{loop: p, upstream: upstream, trial: p.onProbation}
		again := t.resolve(ctx)
		p.preserveUnknown()
		if !again {
			return p.result
		}
		p.excluded = append(p.excluded, upstream.Address)
	}
}

// preserveUnknown prevents an idempotent request that may have run in an
// earlier attempt from being reported as NotRun because its last attempt was
// refused.
func (p *retryLoop) preserveUnknown() {
	switch o := p.result.Outcome.(type) {
	case resolver.Unknown:
		if p.unknown == nil {
			p.unknown = o
		}
	case resolver.NotRun:
		if p.unknown != nil {
			p.result.Outcome = p.unknown
		}
	case resolver.Ran:
	}
}

// choose returns the upstream for the next attempt, or the reason why there is
// none.
func (p *retryLoop) choose() (router.Upstream, resolver.Reason) {
	now := p.f.clock.Now()
	verdict := p.f.cfg.Suspects.Judge(p.q.identity())
	if _, ok := verdict.(quarantiner.Quarantined); ok {
		p.record(recorder.KindRoute, "", nil, resolver.ReasonQuarantined, p.knowledge())
		return router.Upstream{}, resolver.ReasonQuarantined
	}
	_, p.onProbation = verdict.(quarantiner.OnProbation)
	var d router.Decision
	switch {
	case p.q.Ticket != nil:
		home := p.q.Ticket.Home
		d = router.Chosen{Upstream: router.Upstream{Service: home.Service, Address: home.Address}, Why: router.WhyHome}
	case p.q.Key != "" && !p.q.Kind.Idempotent:
		d = p.f.router.Home(p.q.Service, p.q.Key)
	case p.onProbation:
		d = p.f.router.PickTrial(now, p.q.Service, p.q.identity().Fingerprint().String(), p.excluded)
	default:
		d = p.f.router.Pick(now, p.q.Service, p.excluded, rand.Uint64())
	}
	switch d := d.(type) {
	case router.Chosen:
		detail := d.Why.String()
		if p.onProbation {
			detail += ", " + p.knowledge()
		}
		p.record(recorder.KindRoute, d.Upstream.Address, nil, resolver.ReasonNone, detail)
		return d.Upstream, resolver.ReasonNone
	case router.None:
		p.record(recorder.KindRoute, "", nil, d.Reason, "no upstream")
		return router.Upstream{}, d.Reason
	}
	return router.Upstream{}, resolver.ReasonNoUpstream
}

// knowledge describes what the node knows of the request, for log lines. The
// fingerprint is that of the End lines.
func (p *retryLoop) knowledge() string {
	known := p.f.cfg.Suspects.Find(p.q.identity())
	return fmt.Sprintf("request %s, %s", known.Key.Fingerprint, known)
}

func (p *retryLoop) record(k recorder.Kind, upstream string, o resolver.Outcome, reason resolver.Reason, detail string) {
	p.f.rec.Record(recorder.Decision{
		Time: time.Now(), Kind: k, RequestID: p.q.ID, Service: p.q.Service, KindName: p.q.Kind.Name,
		Class: p.q.Class, Upstream: upstream, Outcome: o, Reason: reason, Detail: detail,
	})
}

// observeLoad processes the load report of an answer.
func (f *Forwarder) observeLoad(q *Request, u router.Upstream, ld *encoder.Load) {
	if ld == nil {
		return
	}
	now := f.clock.Now()
	f.levels.Observe(now, q.Service, q.Kind.Name, ld.GetLevel())
	if f.cfg.OnPosition != nil {
		f.cfg.OnPosition(connector.Position{Era: ld.GetEra(), Revision: ld.GetRevision()})
	}
	if ld.GetServerLeaving() {
		f.router.MarkDeparting(now, q.Service, u.Address, u.Instance)
	}
	if ld.GetDraining() {
		f.router.MarkLeaving(now, u.Address)
		f.DropTickets(u.Address)
	}
}

// receiveStored reads the stored answer that follows a VoidReply and passes it
// to the sink.
func (f *Forwarder) receiveStored(s receiver, run *encoder.Run, sink *trackingSink) resolver.Event {
	got, err := receiveAnswer(s, run.GetId(), f.cfg.HoldAnswerBytes, sink)
	if got.head.GetLoad().GetServerLeaving() {
		f.router.MarkDeparting(f.clock.Now(), run.GetService(), run.GetTarget().GetAddress(), run.GetInstance())
	}
	switch e := eventOf(got, err).(type) {
	case resolver.AnswerRan:
		return resolver.VoidDone{Outcome: resolver.Ran(e)}
	case resolver.AnswerNotRun:
		return resolver.VoidDone{Outcome: resolver.NotRun(e)}
	case resolver.AnswerUnknown:
		return resolver.VoidDone{Outcome: resolver.Unknown(e)}
	default:
		return resolver.VoidFailed{}
	}
}

// eventOf returns the resolver event for a received answer.
func eventOf(got received, err error) resolver.Event {
	if got.head == nil {
		return resolver.LinkLost{}
	}
	switch got.head.GetOutcome() {
	case encoder.Outcome_OUTCOME_NOT_RUN:
		return resolver.AnswerNotRun{Reason: resolver.Reason(got.head.GetReason())}
	case encoder.Outcome_OUTCOME_RAN:
		if err == nil && got.complete {
			return resolver.AnswerRan{Status: int(got.head.GetStatus())}
		}
		return resolver.AnswerUnknown{Reason: resolver.ReasonBroken}
	default:
		return resolver.AnswerUnknown{Reason: resolver.Reason(got.head.GetReason())}
	}
}
