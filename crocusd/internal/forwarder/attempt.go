package forwarder

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/tracer"
)

// attempt is the state of one attempt to run a request at one upstream.
type attempt struct {
	loop     *retryLoop
	upstream router.Upstream
	run      *encoder.Run
	// trial is true if the upstream was chosen for a trial of a request on
	// probation.
	trial bool
	// rateLimited is true once the attempt was refused because of the rate limit of
	// the backend server.
	rateLimited bool
	// lent is the part of the retry allowance that was passed on with the attempt.
	lent uint32
}

// send opens a stream to the upstream, sends the request and waits for the
// answer.
func (t *attempt) send(ctx context.Context) resolver.Event {
	p := t.loop
	l, err := p.f.links.Get(ctx, t.upstream.Address)
	if err != nil {
		if ctx.Err() == nil {
			p.f.router.MarkUnreachable(p.f.clock.Now(), t.upstream.Address)
		}
		return resolver.NothingWritten{Reason: resolver.ReasonNoLink}
	}
	if p.f.cfg.CheckService && l.Peer().GetIncarnation().GetService() != p.q.Service {
		p.f.router.MarkMisplaced(p.f.clock.Now(), p.q.Service, t.upstream.Address)
		return resolver.NothingWritten{Reason: resolver.ReasonWrongIncarnation}
	}
	if p.q.Ticket != nil && l.Peer().GetIncarnation().GetBootId() != p.q.Ticket.Home.BootID {
		return t.foreignTicket()
	}
	s, err := l.OpenStream(ctx)
	if err != nil {
		return resolver.NothingWritten{Reason: resolver.ReasonNoLink}
	}
	defer l.EndExchange()
	defer func() { _ = s.Close() }()
	defer bindStream(ctx, s, t.loop.q.Deadline.Add(answerGrace))()

	t.buildRun(l)
	p.result.Attempts++
	p.result.Upstream = t.upstream.Address
	return t.exchange(ctx, s)
}

// foreignTicket returns the event for a ticket that was issued by an earlier
// incarnation of the upstream. If the caller has not used the ticket before,
// nothing can have run; otherwise an earlier request may have run.
func (t *attempt) foreignTicket() resolver.Event {
	if t.loop.q.First {
		return resolver.NothingWritten{Reason: resolver.ReasonTicketForeign}
	}
	return resolver.AnswerUnknown{Reason: resolver.ReasonTicketForeign}
}

// exchange sends the run on an open stream, receives the answer and reports how
// the attempt ended.
func (t *attempt) exchange(ctx context.Context, s *linker.Stream) resolver.Event {
	p := t.loop
	started, sent := p.f.clock.Now(), timekeeper.SinceBoot()
	p.f.router.Start(started, p.q.Service, t.upstream.Address)
	var got received
	sending, err := sendRun(s, t.run, p.q.Body)
	// A gate that refuses a request early stops reading it, so there may be an
	// answer although the request was not sent completely.
	if !errors.Is(err, encoder.ErrUnencodable) {
		got, err = receiveAnswer(s, t.run.GetId(), p.f.cfg.HoldAnswerBytes, p.sink)
	}
	_ = s.Close() // Ends a body that nobody waits for any more.
	<-sending     // The body may be released afterwards.
	event := eventOf(got, err)
	if got.head == nil && ctx.Err() != nil {
		event = resolver.Event(resolver.DeadlinePassed{})
		if time.Now().Before(p.q.Deadline) {
			event = resolver.Cancelled{}
		}
	}
	if ld := got.head.GetLoad(); ld.GetConfigVersion() != 0 && p.f.cfg.OnEvidence != nil {
		p.f.cfg.OnEvidence(sent, ld)
	}
	t.reportResult(got, event, p.f.clock.Now()-started)
	return event
}

// reportResult reports the end of the attempt to the router, the admission
// levels and the retry budgets.
func (t *attempt) reportResult(got received, event resolver.Event, latency time.Duration) {
	p := t.loop
	now := p.f.clock.Now()
	res := router.Result{Latency: latency}
	switch e := event.(type) {
	case resolver.AnswerRan:
		res.Failed = e.Status >= 500
	case resolver.AnswerNotRun:
		res.Refused = true
		if e.Reason == resolver.ReasonInstanceReplaced && p.f.cfg.OnOtherInstance != nil {
			p.f.cfg.OnOtherInstance(t.upstream.Address, t.upstream.Instance)
		}
		res.RateLimited = e.Reason == resolver.ReasonRateLimited
		t.rateLimited = res.RateLimited
		res.Failed = e.Reason == resolver.ReasonBackendRefused || e.Reason == resolver.ReasonBackendUnreachable
	default:
		res.Failed = true
	}
	if ld := got.head.GetLoad(); ld != nil {
		res.Load = router.Load{
			InFlight: int(ld.GetInFlight()), Queued: int(ld.GetQueued()), Limit: int(ld.GetLimit()),
			RateLimit: ld.GetRateLimit(), RateLoad: ld.GetRateLoad(),
		}
	}
	p.f.router.Finish(now, p.q.Service, t.upstream.Address, res)
	p.f.observeLoad(&p.q, t.upstream, got.head.GetLoad())
	p.observeSuspicion(got.head.GetSuspicion())
	if p.q.Pool != nil {
		p.q.Pool.Return(t.lent, got.unspent)
	}
	if p.q.Parent != "" {
		p.f.calls.Observe(now, p.q.Parent, tracer.Callee{Service: p.q.Service, Kind: p.q.Kind.Name})
	}
}

// buildRun creates the Run message for the incarnation at the other end of the
// link.
func (t *attempt) buildRun(l *linker.Link) {
	q := &t.loop.q
	if q.Pool != nil {
		t.lent = q.Pool.LendHalf()
	}
	t.run = &encoder.Run{
		Id:              &encoder.AttemptId{SenderBootId: t.loop.f.boot, Sequence: t.loop.f.seq.Next()},
		SettledBelow:    t.loop.f.seq.SettledBelow(),
		Target:          l.Peer().GetIncarnation(),
		Service:         q.Service,
		Kind:            q.Kind.Name,
		Class:           uint32(q.Class),
		Depth:           q.Depth,
		TreeId:          q.TreeID,
		RemainingMicros: uint64(max(time.Until(q.Deadline).Microseconds(), 1)),
		Allowance:       t.lent,
		Idempotent:      q.Kind.Idempotent,
		Key:             q.Key,
		Caller:          q.Caller,
		Organisation:    q.Organisation,
		Method:          q.Method,
		Path:            []byte(q.Path),
		Headers:         q.Headers,
		BodyLength:      uint64(len(q.Body)),
		Repeat:          q.Repeat,
		RequestId:       q.ID,
		Host:            q.Host,
		Instance:        t.upstream.Instance,
		Again:           t.loop.reachedBackend() > 0,
		RepeatedTree:    q.RepeatedTree,
		AppliedLevel:    q.AppliedLevel,
		LastChoice:      t.lastChoice(),
		RateLimit:       t.loop.f.router.RateLimit(t.loop.f.clock.Now(), q.Service, t.upstream.Address),
		SentMicros:      uint64(timekeeper.SinceBoot().Microseconds()),
		Trial:           t.trial,
	}
	if q.stated != nil {
		t.run.BodyDigest = q.stated.Digest[:]
	}
	if known := t.loop.f.cfg.Suspects.Find(q.identity()); !known.Clear() {
		t.run.Suspicion = known.Message()
	}
	if q.Ticket != nil {
		t.run.Ticket = q.Ticket.Message()
		t.run.Target = handler.IncarnationMessage(q.Ticket.Home)
	}
}

// maxRateRetries bounds how often a request goes on to another upstream because the
// backend server of one states a rate limit. In a service that is limited as a whole
// it then waits.
const maxRateRetries = 4

// lastChoice reports whether the request could not be sent to another upstream if
// this one refused it.
func (t *attempt) lastChoice() bool {
	p := t.loop
	if p.q.Ticket != nil || p.q.Key != "" || p.rateRetries >= maxRateRetries {
		return true
	}
	return !p.f.router.HasAlternative(p.f.clock.Now(), p.q.Service, t.upstream.Address, p.excluded)
}

// resolve sends the request once and drives the resolver until the outcome of
// the attempt is final. It returns true when another attempt is to be made, for
// which it has already spent the units.
func (t *attempt) resolve(ctx context.Context) bool {
	event := t.send(ctx)
	phase := resolver.PhaseUnsent
	if t.run != nil {
		defer t.loop.f.seq.Settle(t.run.GetId().GetSequence())
		phase = resolver.PhaseSent
	}
	for {
		var d resolver.Decision
		phase, d = phase.Next(event, t.permissions())
		switch d := d.(type) {
		case resolver.Wait:
			// No further event would follow, so waiting would never end.
			t.loop.result.Outcome = resolver.Unknown{Reason: resolver.ReasonBroken}
			return false
		case resolver.SendVoid:
			event = t.sendVoid(ctx, event)
		case resolver.Retry:
			t.loop.result.Outcome = d.Fallback
			return t.takeRetry()
		case resolver.Conclude:
			t.loop.result.Outcome = d.Outcome
			return false
		}
	}
}

// voidRetryInterval is the interval between two Void messages for an attempt
// that is still running or whose gate did not reply. It can be short because the
// gate waits for the run to end before it replies.
const voidRetryInterval = 50 * time.Millisecond

// sendVoid sends a Void for the attempt and returns the reply as an event.
// After the reply that the attempt is running, or no reply, it first waits for
// voidRetryInterval.
func (t *attempt) sendVoid(ctx context.Context, last resolver.Event) resolver.Event {
	_, running := last.(resolver.VoidRunning)
	_, failed := last.(resolver.VoidFailed)
	if running || failed {
		select {
		case <-ctx.Done():
			return resolver.DeadlinePassed{}
		case <-time.After(voidRetryInterval):
		}
	}
	event := t.loop.f.sendVoid(ctx, t.run, t.loop.sink)
	t.loop.record(recorder.KindVoid, t.upstream.Address, nil, resolver.ReasonNone, fmt.Sprintf("%T", event))
	return event
}

// passThroughAttempts is the number of attempts at each hop under the baseline
// policy.
const passThroughAttempts = 3

func (t *attempt) permissions() resolver.Permissions {
	p := t.loop
	may := resolver.Permissions{
		Idempotent:       p.q.Kind.Idempotent,
		TransparentRetry: p.transparentRetries < p.f.cfg.MaxTransparentRetries+p.rateRetries,
		Suspected:        p.suspected(),
	}
	if t.rateLimited {
		may.TransparentRetry = p.rateRetries < maxRateRetries
	}
	switch {
	case p.q.MaxAttempts > 0 && p.reachedBackend() >= p.q.MaxAttempts:
	case p.sink.headSent:
		// The caller has received the head of an answer, so the request can't be
		// answered again.
	case p.f.cfg.PassThrough:
		may.Allowance, may.Ratio = p.result.Attempts < passThroughAttempts, true
	default:
		may.Allowance, may.Ratio = p.q.Pool != nil && p.q.Pool.Held() > 0, true
	}
	return may
}

// maxEndsToRetry is the number of servers that may have ended while running a request
// that is sent to another server in the same exchange.
const maxEndsToRetry = 1

// suspected reports whether the request, once it may have run, is left to its caller
// to send again.
func (p *retryLoop) suspected() bool {
	allowed, ok := p.f.cfg.Suspects.Judge(p.q.identity()).(quarantiner.Allowed)
	return !ok || allowed.Ends > maxEndsToRetry
}

// observeSuspicion processes what a gate reports of the request; nil for nothing.
func (p *retryLoop) observeSuspicion(m *encoder.Suspicion) {
	if m == nil {
		return
	}
	if err := p.f.cfg.Suspects.MergeMessages([]*encoder.Suspicion{m}); err != nil {
		p.record(recorder.KindTrial, p.result.Upstream, nil, resolver.ReasonNone, "record of the gate ignored: "+err.Error())
	}
}

// reachedBackend returns the number of attempts so far that may have reached a
// backend server.
func (p *retryLoop) reachedBackend() int { return p.result.Attempts - p.transparentRetries }

// takeRetry spends the units for another attempt and reports whether there were
// any. A transparent retry costs none.
func (t *attempt) takeRetry() bool {
	p := t.loop
	if p.f.cfg.PassThrough {
		return true
	}
	if o, ok := p.result.Outcome.(resolver.NotRun); ok && o.Reason.BeforeBackend() && t.permissions().TransparentRetry {
		if t.rateLimited {
			p.rateRetries++
		}
		p.transparentRetries++
		p.record(recorder.KindRetry, t.upstream.Address, p.result.Outcome, resolver.ReasonNone, "another upstream")
		return true
	}
	allowed := p.ratio.TryRetry() && p.q.Pool.Spend()
	detail := "another try"
	if !allowed {
		detail = "no retry left"
	}
	p.record(recorder.KindRetry, t.upstream.Address, p.result.Outcome, resolver.ReasonNone, detail)
	return allowed
}
