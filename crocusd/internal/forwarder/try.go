package forwarder

import (
	"context"
	"time"

	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/router"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/tracer"
)

// try is one sending of a request to one upstream.
type try struct {
	loop     *loop
	upstream router.Upstream
	run      *encoder.Run
	// lent is the part of the allowance that went down with the try.
	lent uint32
}

// send sends the request and waits for what comes of it.
func (t *try) send(ctx context.Context) (resolver.Event, received) {
	p := t.loop
	l, err := p.f.links.Get(ctx, t.upstream.Address)
	if err != nil {
		return resolver.NothingWritten{Reason: resolver.ReasonNoLink}, received{}
	}
	if p.q.Ticket != nil && l.Peer().GetIncarnation().GetBootId() != p.q.Ticket.Home.BootID {
		return t.foreignTicket(), received{}
	}
	s, err := l.OpenStream()
	if err != nil {
		return resolver.NothingWritten{Reason: resolver.ReasonNoLink}, received{}
	}
	defer l.Done()
	defer func() { _ = s.Close() }()
	defer bindStream(ctx, s, t.loop.q.Deadline.Add(answerGrace))()

	t.build(l)
	p.result.Tries++
	p.result.Upstream = t.upstream.Address
	return t.exchange(ctx, s)
}

// foreignTicket concludes a request whose ticket's home was replaced. On the
// first try of a ticket nothing can have run; a repeat may have run before.
func (t *try) foreignTicket() resolver.Event {
	if t.loop.q.First {
		return resolver.NothingWritten{Reason: resolver.ReasonTicketForeign}
	}
	return resolver.AnswerUnknown{Reason: resolver.ReasonTicketForeign}
}

func (t *try) exchange(ctx context.Context, s *linker.Stream) (resolver.Event, received) {
	p := t.loop
	started := p.f.clock.Now()
	p.f.router.Start(started, p.q.Service, t.upstream.Address)
	var got received
	err := sendRun(s, t.run, p.q.Body)
	if err == nil {
		got, err = receiveAnswer(s, t.run.GetId(), p.f.cfg.HoldAnswerBytes, p.sink)
	}
	event := eventOf(got, err)
	if got.head == nil && ctx.Err() != nil {
		event = resolver.Event(resolver.DeadlinePassed{})
		if time.Now().Before(p.q.Deadline) {
			event = resolver.Cancelled{}
		}
	}
	t.learn(got, event, p.f.clock.Now()-started)
	return event, got
}

// learn tells router, levels and budgets how the try ended.
func (t *try) learn(got received, event resolver.Event, latency time.Duration) {
	p := t.loop
	now := p.f.clock.Now()
	res := router.Result{Latency: latency}
	switch e := event.(type) {
	case resolver.AnswerRan:
		res.Failed = e.Status >= 500
	case resolver.AnswerNotRun:
		res.Refused = true
	default:
		res.Failed = true
	}
	if ld := got.head.GetLoad(); ld != nil {
		res.Load = router.Load{InFlight: int(ld.GetInFlight()), Queued: int(ld.GetQueued()), Limit: int(ld.GetLimit())}
	}
	p.f.router.Finish(now, p.q.Service, t.upstream.Address, res)
	p.f.observe(&p.q, t.upstream.Address, got.head.GetLoad())
	if p.q.Pool != nil {
		p.q.Pool.Return(t.lent, got.unspent)
	}
	if p.q.Parent != "" {
		p.f.calls.Observe(now, p.q.Parent, tracer.Callee{Service: p.q.Service, Kind: p.q.Kind.Name})
	}
}

// build fills the message for the incarnation at the other end of the link.
func (t *try) build(l *linker.Link) {
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
		Method:          q.Method,
		Path:            q.Path,
		Headers:         q.Headers,
		BodyLength:      uint64(len(q.Body)),
		Repeat:          q.Repeat,
		RequestId:       q.ID,
	}
	if q.Ticket != nil {
		t.run.Ticket = q.Ticket.Message()
		t.run.Target = handler.IncarnationMessage(q.Ticket.Home)
	}
}

// runTry sends the request once and resolves it. It returns true when another
// try is allowed; the budgets are already charged for it.
func (t *try) resolve(ctx context.Context) bool {
	event, got := t.send(ctx)
	if t.run != nil {
		defer t.loop.f.seq.Settle(t.run.GetId().GetSequence())
	}
	for {
		switch d := resolver.Decide(event, t.inputs(got)).(type) {
		case resolver.AskVoid:
			event = t.loop.f.askVoid(ctx, t.run, t.loop.sink)
			t.loop.record(recorder.KindVoid, t.upstream.Address, nil, resolver.ReasonNone, eventName(event))
		case resolver.Retry:
			return true
		case resolver.Conclude:
			t.loop.result.Outcome = d.Outcome
			return false
		}
	}
}

func (t *try) inputs(received) resolver.Inputs {
	p := t.loop
	return resolver.Inputs{Idempotent: p.q.Kind.Idempotent, Allowance: p.q.Pool != nil && p.q.Pool.Held() > 0, Ratio: true}
}

func eventName(e resolver.Event) string { return "" }
