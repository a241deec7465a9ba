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

// fakeForwarder gives an outcome and keeps what it was given.
type fakeForwarder struct {
	outcome resolver.Outcome
	begun   bool
	got     forwarder.Request
	calls   int
}

func (f *fakeForwarder) Forward(_ context.Context, q forwarder.Request, _ forwarder.Sink) forwarder.Result {
	f.got = q
	f.calls++
	return forwarder.Result{Outcome: f.outcome, Begun: f.begun}
}

// abortSink notes an abort.
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
	return New(f, runs, recorder.New(logr.Discard(), 8)), runs
}

func inbound(budget time.Duration) connector.Inbound {
	return connector.Inbound{ID: "1", Host: "a.example", Path: "/x/1", Target: "/x/1?q=2", Budget: budget, Arrived: time.Now()}
}

// Guards against an answer that says more than is known.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		outcome resolver.Outcome
		begun   bool
		want    connector.Verdict
		aborted bool
	}{
		{resolver.Ran{Status: 200}, true, connector.Delivered{}, false},
		{resolver.NotRun{Reason: resolver.ReasonDeadlineExceeded}, false, connector.Refused{Reason: resolver.ReasonDeadlineExceeded}, false},
		{resolver.Unknown{Reason: resolver.ReasonLinkLost}, false, connector.Failed{Reason: resolver.ReasonLinkLost}, false},
		{resolver.Unknown{Reason: resolver.ReasonBroken}, true, connector.Failed{Reason: resolver.ReasonBroken}, true},
	} {
		d, _ := newDispatcher(&fakeForwarder{outcome: c.outcome, begun: c.begun})
		d.SetConfig(config(1, 0))
		sink := &abortSink{}
		if diff := cmp.Diff(c.want, d.Dispatch(context.Background(), inbound(time.Second), sink)); diff != "" || sink.aborted != c.aborted {
			t.Errorf("%v: aborted %t, -want +got:\n%s", c.outcome, sink.aborted, diff)
		}
	}
}

// Guards against a 404 of a node that knows no configuration yet, and against
// work for a route that doesn't exist.
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
		t.Errorf("%d requests sent on, ready %t", f.calls, d.Ready())
	}
}

// Guards against a configuration that goes back.
func TestConfigNeverGoesBack(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, _ := newDispatcher(f)
	d.SetConfig(config(5, time.Second))
	d.SetConfig(config(4, time.Minute))
	in := inbound(time.Hour)
	d.Dispatch(context.Background(), in, &abortSink{})
	if got := f.got.Deadline.Sub(in.Arrived); got != time.Second {
		t.Errorf("deadline after %v, want that of version 5", got)
	}
}

// Guards against more time for an upstream than the client or the operators
// allow.
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

// Guards against calls that don't belong to their tree: they take class, hash,
// retries and deadline from the run that made them.
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
		t.Errorf("the call is %+v", got)
	}
	in.Parent = "9"
	d.Dispatch(context.Background(), in, &abortSink{})
	if got := f.got; got.Depth != 1 || got.Class != classifier.ClassStandard || got.Pool != nil {
		t.Errorf("a call without a known run is %+v", got)
	}
}

// Guards against refused clients that come back all at once, too soon to find a
// place, or too late for their objective.
func TestRetryAfter(t *testing.T) {
	now := time.Now()
	q := forwarder.Request{Deadline: now.Add(3 * time.Second), Objective: time.Second}
	low, high := retryAfter(q, resolver.ReasonQueueFull, now, 0), retryAfter(q, resolver.ReasonQueueFull, now, 0.999)
	if low < minRetryAfter || high > 500*time.Millisecond || high < 2*low {
		t.Errorf("from %v to %v, want a spread within 100ms and 500ms", low, high)
	}
	q.Objective = 0
	if got := retryAfter(q, resolver.ReasonQueueFull, now, 0.999); got > time.Second {
		t.Errorf("%v, want at most a third of the time left", got)
	}
	if got := retryAfter(q, resolver.ReasonUnknownKind, now, 0.5); got != 0 {
		t.Errorf("%v for a route that doesn't exist", got)
	}
}

// Pattern: a node is restarted while its clients can't go elsewhere. Guards
// against requests that are taken so late that the process ends before them, and
// against calls refused that running requests wait for.
func TestClosedTakesOnlyCalls(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d, _ := newDispatcher(f)
	d.SetConfig(config(1, 0))
	d.Leave()
	if v := d.Dispatch(context.Background(), inbound(time.Second), &abortSink{}); v != connector.Verdict(connector.Delivered{}) {
		t.Errorf("a leaving node answers %+v before it closes", v)
	}
	d.Close()
	v, ok := d.Dispatch(context.Background(), inbound(time.Second), &abortSink{}).(connector.Refused)
	if !ok || v.Reason != resolver.ReasonDraining || v.RetryAfter <= 0 {
		t.Errorf("a closed node answers %+v", v)
	}
	call := inbound(time.Second)
	call.ID, call.Parent = "1.2", "1"
	if v := d.Dispatch(context.Background(), call, &abortSink{}); v != connector.Verdict(connector.Delivered{}) {
		t.Errorf("a call gets %+v", v)
	}
}
