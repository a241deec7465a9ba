package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/tracer"
)

// fakeForwarder returns a fixed outcome and records the requests that it gets.
type fakeForwarder struct {
	outcome  resolver.Outcome
	headSent bool
	got      forwarder.Request
	calls    int
}

func (f *fakeForwarder) Forward(_ context.Context, q forwarder.Request, _ forwarder.Sink) forwarder.Result {
	f.got = q
	f.calls++
	return forwarder.Result{Outcome: f.outcome, HeadSent: f.headSent}
}

// abortSink records whether it was aborted.
type abortSink struct{ aborted bool }

func (*abortSink) Head(int, []*encoder.Header, int64) {}
func (*abortSink) Write([]byte) error                 { return nil }
func (s *abortSink) Abort()                           { s.aborted = true }

func config(version int64, timeout time.Duration) connector.Config {
	return connector.Config{Version: version, Routes: []connector.Route{{
		Name: "r", Host: "a.example", Prefix: "/x/", Timeout: timeout, Objective: time.Second, Rank: 1, MaxAttempts: 2,
		Shares: []connector.Share{{Service: "s", Weight: 1}},
	}}}
}

func newDispatcher(f Forwarder) (*Dispatcher, *tracer.Registry) {
	runs := tracer.NewRegistry()
	return New(f, runs, recorder.New(logr.Discard(), 8), Keys{}), runs
}

func inbound(budget time.Duration) connector.Inbound {
	return connector.Inbound{ID: "1", Host: "a.example", Path: "/x/1", Target: "/x/1?q=2", Budget: budget, Arrived: time.Now()}
}

// Guards against a verdict that claims more than the outcome proves, and
// against a partial answer that is not aborted.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		outcome  resolver.Outcome
		headSent bool
		want     connector.Verdict
		aborted  bool
	}{
		{resolver.Ran{Status: 200}, true, connector.Delivered{}, false},
		{resolver.NotRun{Reason: resolver.ReasonDeadlineExceeded}, false, connector.Refused{Reason: resolver.ReasonDeadlineExceeded}, false},
		{resolver.Unknown{Reason: resolver.ReasonLinkLost}, false, connector.Failed{Reason: resolver.ReasonLinkLost}, false},
		{resolver.Unknown{Reason: resolver.ReasonBroken}, true, connector.Failed{Reason: resolver.ReasonBroken}, true},
	} {
		d, _ := newDispatcher(&fakeForwarder{outcome: c.outcome, headSent: c.headSent})
		d.SetConfig(config(1, 0))
		sink := &abortSink{}
		if diff := cmp.Diff(c.want, d.Dispatch(context.Background(), inbound(time.Second), sink)); diff != "" || sink.aborted != c.aborted {
			t.Errorf("%v: aborted %t, -want +got:\n%s", c.outcome, sink.aborted, diff)
		}
	}
}

// Guards against answering 404 while no configuration is known yet, and against
// forwarding a request without a route.
func TestWithoutRoute(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, _ := newDispatcher(f)
	if d.Ready() {
		t.Error("ready without a configuration")
	}
	v, ok := d.Dispatch(context.Background(), inbound(time.Second), &abortSink{}).(connector.Refused)
	if !ok || v.Reason != resolver.ReasonNotReady || v.RetryAfter <= 0 {
		t.Errorf("without a configuration: %+v", v)
	}
	d.SetConfig(config(1, 0))
	in := inbound(time.Second)
	in.Path = "/y/1"
	if v := d.Dispatch(context.Background(), in, &abortSink{}); v != connector.Verdict(connector.Refused{Reason: resolver.ReasonUnknownKind}) {
		t.Errorf("without a route: %+v", v)
	}
	if f.calls != 0 || !d.Ready() {
		t.Errorf("%d requests forwarded, want 0; ready %t, want true", f.calls, d.Ready())
	}
}

// Guards against replacing the active configuration by an older one.
func TestConfigNeverGoesBack(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, _ := newDispatcher(f)
	d.SetConfig(config(5, time.Second))
	d.SetConfig(config(4, time.Minute))
	in := inbound(time.Hour)
	d.Dispatch(context.Background(), in, &abortSink{})
	if got := f.got.Deadline.Sub(in.Arrived); got != time.Second {
		t.Errorf("deadline after %v, want 1s, the timeout of version 5", got)
	}
}

// Guards against granting a request more time than the client's budget or the
// route's timeout allows.
func TestDeadline(t *testing.T) {
	for _, c := range []struct{ budget, timeout, want time.Duration }{
		{2 * time.Second, time.Second, time.Second},
		{time.Second, 2 * time.Second, time.Second},
		{0, time.Second, time.Second},
		{time.Second, 0, time.Second},
	} {
		f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
		d, _ := newDispatcher(f)
		d.SetConfig(config(1, c.timeout))
		in := inbound(c.budget)
		d.Dispatch(context.Background(), in, &abortSink{})
		if got := f.got.Deadline.Sub(in.Arrived); got != c.want {
			t.Errorf("budget %v, timeout %v: deadline after %v, want %v", c.budget, c.timeout, got, c.want)
		}
	}
}

// Guards against calls that are not tied to their call tree: class, tree ID,
// retry allowance and deadline come from the run that made the call.
func TestCallsBelongToTheirTree(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, runs := newDispatcher(f)
	d.SetConfig(config(1, time.Minute))
	pool := budgeter.NewPool(1)
	run := &tracer.Run{
		Token: "1.2", TraceID: "t", Kind: "parent", Class: classifier.ClassCritical, TreeID: 7, Depth: 1,
		Deadline: time.Now().Add(time.Second), Pool: pool, Repeated: true,
	}
	runs.Add(run)
	in := inbound(time.Minute)
	in.ID, in.Parent = "1.2.3", "1.2"
	d.Dispatch(context.Background(), in, &abortSink{})
	got := f.got
	if got.Class != run.Class || got.TreeID != 7 || got.Depth != 2 || got.Pool != pool || !got.RepeatedTree || !got.Outbound || !got.Deadline.Equal(run.Deadline) {
		t.Errorf("call of a known run: %+v", got)
	}
	in.Parent = "9"
	d.Dispatch(context.Background(), in, &abortSink{})
	if got := f.got; got.Depth != 1 || got.Class != classifier.ClassStandard || got.Pool != nil {
		t.Errorf("call without a known run: %+v", got)
	}
}

// Guards against refused clients that all retry at the same time, before a slot
// is likely to be free, or too late for their objective.
func TestRetryAfter(t *testing.T) {
	now := time.Now()
	q := forwarder.Request{Deadline: now.Add(3 * time.Second), Objective: time.Second}
	low, high := retryAfter(q, resolver.ReasonQueueFull, now, 0), retryAfter(q, resolver.ReasonQueueFull, now, 0.999)
	if low < minRetryAfter || high > 500*time.Millisecond || high < 2*low {
		t.Errorf("delays from %v to %v, want a spread within 100ms and 500ms", low, high)
	}
	q.Objective = 0
	if got := retryAfter(q, resolver.ReasonQueueFull, now, 0.999); got > time.Second {
		t.Errorf("delay without an objective: %v, want at most a third of the remaining time", got)
	}
	if got := retryAfter(q, resolver.ReasonUnknownKind, now, 0.5); got != 0 {
		t.Errorf("delay without a route: %v, want 0", got)
	}
}

// A node may be restarted while its clients have no other node to use. Guards
// against accepting requests so late that the process ends before them, and
// against refusing calls that running requests wait for.
func TestClosedTakesOnlyCalls(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, runs := newDispatcher(f)
	d.SetConfig(config(1, 0))
	d.Leave()
	if v := d.Dispatch(context.Background(), inbound(time.Second), &abortSink{}); v != connector.Verdict(connector.Delivered{}) {
		t.Errorf("request after Leave and before Close: %+v", v)
	}
	d.Close(time.Now().Add(time.Minute))
	runs.Add(&tracer.Run{Token: "1", TraceID: "t", RequestID: "1", Deadline: time.Now().Add(time.Minute)})
	named := func(id, parent string) connector.Inbound {
		in := inbound(time.Second)
		in.ID, in.Parent = id, parent
		return in
	}
	refused := func(what string, in connector.Inbound) {
		t.Helper()
		v, ok := d.Dispatch(context.Background(), in, &abortSink{}).(connector.Refused)
		if !ok || v.Reason != resolver.ReasonDraining || v.RetryAfter <= 0 {
			t.Errorf("%s: %+v", what, v)
		}
	}
	refused("request after Close", inbound(time.Second))
	refused("request after Close whose id looks like that of a call", named("till7.2", "till7"))
	if v := d.Dispatch(context.Background(), named("1.2", "1"), &abortSink{}); v != connector.Verdict(connector.Delivered{}) {
		t.Errorf("call after Close: %+v", v)
	}
	d.Close(time.Now().Add(500 * time.Millisecond)) // Half of the target latency.
	refused("call that can't end in time", named("1.3", "1"))
	short := named("1.4", "1")
	short.Budget = 200 * time.Millisecond
	if v := d.Dispatch(context.Background(), short, &abortSink{}); v != connector.Verdict(connector.Delivered{}) {
		t.Errorf("call whose time budget ends before the cut: %+v", v)
	}
}
