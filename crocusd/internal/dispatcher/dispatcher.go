package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/authenticator"
	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/matcher"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/tracer"
)

const (
	// treeAllowance is the number of retries that a whole call tree may make. Half
	// of it is passed on with each call, so that four levels get one each.
	treeAllowance = 4
	// defaultBudget is the time budget of a request for which neither the client
	// nor the route states one.
	defaultBudget = 10 * time.Second
	// defaultCallTime is how long a call is likely to take whose route states no target
	// latency.
	defaultCallTime = time.Second
	// defaultMaxBodyBytes bounds request bodies while no active configuration
	// states a bound.
	defaultMaxBodyBytes = 1 << 20
)

// Forwarder sends requests to upstreams.
type Forwarder interface {
	Forward(ctx context.Context, r forwarder.Request, sink forwarder.Sink) forwarder.Result
}

// Rationer applies the rate limits of organisations.
type Rationer interface {
	// Acquire reports whether a request of an organisation keeps within its limit. If
	// not, wait is the time after which the next one may.
	Acquire(ctx context.Context, organisation string) (ok bool, wait time.Duration)
}

// Keys holds what decides on keys.
type Keys struct {
	// Proven reports whether the configuration with the version was the newest one
	// recently enough. It may ask the store and wait for a short time.
	Proven func(version int64) bool
	Limits Rationer
}

// routing is the active configuration with its route table.
type routing struct {
	config connector.Config
	table  *matcher.Table
	// organisations is nil if requests need no key.
	organisations *authenticator.Directory
}

// Dispatcher implements connector.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	forward  Forwarder
	runs     *tracer.Registry
	rec      *recorder.Recorder
	keys     Keys
	splitter *matcher.Splitter
	routing  atomic.Pointer[routing]
	leaving  atomic.Bool
	// closing is when requests in flight are cut off; nil until new requests of clients
	// are refused.
	closing atomic.Pointer[time.Time]
	active  atomic.Int64
}

// New returns a Dispatcher without a configuration.
func New(f Forwarder, runs *tracer.Registry, rec *recorder.Recorder, keys Keys) *Dispatcher {
	return &Dispatcher{forward: f, runs: runs, rec: rec, keys: keys, splitter: matcher.NewSplitter()}
}

// SetConfig activates a configuration. It ignores one that is not newer than
// the active one.
func (d *Dispatcher) SetConfig(c connector.Config) {
	if old := d.routing.Load(); old != nil && old.config.Version >= c.Version {
		return
	}
	r := &routing{config: c, table: matcher.NewTable(c.Routes)}
	if c.Keyed {
		organisations, err := authenticator.NewDirectory(c.Organisations)
		if err != nil {
			return // The adapter passes on only valid configurations.
		}
		r.organisations = organisations
	}
	d.routing.Store(r)
	d.splitter.Reset()
}

// Leave makes the node report not ready for good. Incoming requests are still
// served.
func (d *Dispatcher) Leave() { d.leaving.Store(true) }

// Close refuses new requests, so that those in flight can end before the process cuts
// them off at the given time. Calls that belong to requests in flight at the backend
// server are still served if they are likely to end before it.
func (d *Dispatcher) Close(cut time.Time) { d.closing.Store(&cut) }

// Leaving implements connector.Dispatcher.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() }

// Ready implements connector.Dispatcher.
func (d *Dispatcher) Ready() bool { return d.routing.Load() != nil && !d.leaving.Load() }

// Active returns the number of requests that are not answered yet.
func (d *Dispatcher) Active() int64 { return d.active.Load() }

// Repeatable implements connector.Dispatcher.
func (d *Dispatcher) Repeatable(host, path string) bool {
	r := d.routing.Load()
	if r == nil {
		return false
	}
	route, ok := r.table.Find(host, path)
	return ok && route.Idempotent
}

// Limits implements connector.Dispatcher.
func (d *Dispatcher) Limits() connector.Limits {
	if r := d.routing.Load(); r != nil && r.config.Limits.BodyBytes > 0 {
		return r.config.Limits
	}
	return connector.Limits{BodyBytes: defaultMaxBodyBytes}
}

// Dispatch implements connector.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, in connector.Inbound, sink connector.Sink) connector.Verdict {
	d.active.Add(1)
	defer d.active.Add(-1)
	q, reason := d.request(time.Now(), in)
	if reason != resolver.ReasonNone {
		return d.refuse(q, in, reason)
	}
	if in.Identity.Organisation != "" && !d.belongsToRun(in) {
		if ok, wait := d.keys.Limits.Acquire(ctx, in.Identity.Organisation); !ok {
			refused := d.refuse(q, in, resolver.ReasonOrganisationLimited)
			refused.RetryAfter = max(refused.RetryAfter, wait)
			return refused
		}
	}
	result := d.forward.Forward(ctx, q, sink)
	d.record(q, in, result)
	switch o := result.Outcome.(type) {
	case resolver.Ran:
		return connector.Delivered{}
	case resolver.NotRun:
		return connector.Refused{Reason: o.Reason, RetryAfter: retryAfter(q, o.Reason, time.Now(), rand.Float64())}
	case resolver.Unknown:
		if result.HeadSent {
			sink.Abort()
		}
		return connector.Failed{Reason: o.Reason}
	}
	panic("forwarder returned no outcome")
}

// request builds the forwarder's request from an inbound request and the active
// configuration, or returns the reason to refuse it.
func (d *Dispatcher) request(now time.Time, in connector.Inbound) (forwarder.Request, resolver.Reason) {
	q := forwarder.Request{
		ID: in.ID, Caller: in.Caller, Method: in.Method, Host: in.Host, Path: in.Target, Headers: in.Headers, Body: in.Body,
		Outbound: in.Parent != "",
	}
	r := d.routing.Load()
	if r == nil {
		return q, resolver.ReasonNotReady
	}
	cut := d.closing.Load()
	if cut != nil && !d.belongsToRun(in) {
		return q, resolver.ReasonDraining
	}
	route, ok := r.table.Find(in.Host, in.Path)
	if !ok {
		return q, resolver.ReasonUnknownKind
	}
	q.Service = d.splitter.Choose(route)
	q.Kind = kindOf(route, q.Service)
	if r.organisations != nil {
		q.Organisation = in.Identity.Organisation
	}
	q.Kind.Class = d.classOf(r, route, q.Service, q.Organisation)
	if in.Heavy && in.Parent == "" {
		q.Kind.Class = classifier.ClassBulk
	}
	q.Class = q.Kind.Class
	q.MaxAttempts = route.MaxAttempts
	q.Objective = route.Objective
	q.Deadline = deadline(in, route)
	d.joinTree(&q, in)
	if cut != nil && likelyEnd(now, route, q.Deadline).After(*cut) {
		return q, resolver.ReasonDraining
	}
	return q, resolver.ReasonNone
}

// belongsToRun reports whether a request is a call for a request that the backend server
// is running. That its id looks like one proves nothing: clients choose their ids.
func (d *Dispatcher) belongsToRun(in connector.Inbound) bool {
	if in.Parent == "" {
		return false
	}
	_, ok := d.runs.Find(in.Parent, "").(tracer.Matched)
	return ok
}

// likelyEnd returns when a call that begins now will most likely have ended: after the
// target latency of its route, and at its deadline at the latest.
func likelyEnd(now time.Time, route connector.Route, deadline time.Time) time.Time {
	end := now.Add(cmp.Or(route.Objective, defaultCallTime))
	if deadline.Before(end) {
		return deadline
	}
	return end
}

// deadline returns the end of the client's time budget or of the route's
// timeout, whichever is earlier.
func deadline(in connector.Inbound, route connector.Route) time.Time {
	budget := defaultBudget
	if in.Budget > 0 {
		budget = in.Budget
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	return in.Arrived.Add(budget)
}

// joinTree adds a call of the backend server to the call tree of the run that
// made it. For requests of clients it begins a new tree. A call whose run is
// unknown gets a tree of its own without retries.
func (d *Dispatcher) joinTree(q *forwarder.Request, in connector.Inbound) {
	q.TreeID = xxhash.Sum64String(in.ID)
	if in.Parent == "" {
		q.Pool = budgeter.NewPool(treeAllowance)
		return
	}
	q.Depth = 1
	matched, ok := d.runs.Find(in.Parent, "").(tracer.Matched)
	if !ok {
		return
	}
	run := matched.Run
	q.Organisation = run.Organisation
	q.Parent, q.Class, q.TreeID, q.Depth, q.Pool = run.Kind, run.Class, run.TreeID, run.Depth+1, run.Pool
	q.RepeatedTree, q.AppliedLevel = run.Repeated, run.AppliedLevel
	if run.Deadline.Before(q.Deadline) {
		q.Deadline = run.Deadline
	}
}

// classByRank maps the rank of a route to a class; all other ranks are
// ClassBulk.
var classByRank = []classifier.Class{classifier.ClassCritical, classifier.ClassStandard, classifier.ClassBrowse}

func kindOf(r connector.Route, service string) classifier.Kind {
	class := classifier.ClassBulk
	if r.Rank >= 0 && r.Rank < len(classByRank) {
		class = classByRank[r.Rank]
	}
	return classifier.Kind{
		Name: r.Name, Service: service, PathPrefix: r.Prefix, Class: class, Idempotent: r.Idempotent,
		Timeout: r.Timeout, Allowance: treeAllowance,
	}
}

func (d *Dispatcher) refuse(q forwarder.Request, in connector.Inbound, reason resolver.Reason) connector.Refused {
	d.record(q, in, forwarder.Result{Outcome: resolver.NotRun{Reason: reason}})
	return connector.Refused{Reason: reason, RetryAfter: retryAfter(q, reason, time.Now(), rand.Float64())}
}

func (d *Dispatcher) record(q forwarder.Request, in connector.Inbound, result forwarder.Result) {
	kind := recorder.KindAnswer
	if q.Outbound {
		kind = recorder.KindCall
	}
	version := int64(0)
	if r := d.routing.Load(); r != nil {
		version = r.config.Version
	}
	d.rec.Record(recorder.Decision{
		Time: time.Now(), Kind: kind, RequestID: q.ID, Service: q.Service, KindName: q.Kind.Name, Class: q.Class,
		Upstream: result.Upstream, Outcome: result.Outcome, Took: time.Since(in.Arrived),
		Detail: fmt.Sprintf("config %d, tries %d, left %s", version, result.Attempts, remainingText(q)),
	})
}

// remainingText returns the time left until the deadline for the decision log.
func remainingText(q forwarder.Request) string {
	if q.Deadline.IsZero() {
		return "?"
	}
	return strconv.FormatInt(time.Until(q.Deadline).Milliseconds(), 10) + "ms"
}
