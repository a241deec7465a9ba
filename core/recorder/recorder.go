package recorder

import (
	"math"
	"sync"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"crocustack/core/resolver"
)

// Recorder writes decisions to the log, the ring buffer and the metrics. It is
// safe for concurrent use.
type Recorder struct {
	log      logr.Logger
	registry metrics.Registry

	mu      sync.Mutex
	recent  *ring[Decision]
	sampler *sampler
	// counters and timers cache the registered metrics by key, so that the
	// request path does not build metric names.
	counters map[counterKey]metrics.Counter
	timers   map[string]metrics.Timer
}

// counterKey identifies a counter without building its metric name.
type counterKey struct {
	kind    Kind
	outcome string
	reason  resolver.Reason
}

// New returns a recorder that logs decisions to log and keeps the size most
// recent ones. With logr.Discard() no line is written.
func New(log logr.Logger, size int) *Recorder {
	return &Recorder{
		log:      log,
		registry: metrics.NewRegistry(),
		recent:   newRing[Decision](size),
		sampler:  newSampler(),
		counters: make(map[counterKey]metrics.Counter),
		timers:   make(map[string]metrics.Timer),
	}
}

// Registry returns the metrics registry. Callers may register their own metrics
// in it.
func (r *Recorder) Registry() metrics.Registry { return r.registry }

// ReportDropped registers the gauge Log.Dropped for the number of lines that q
// dropped, and logs the number whenever q drops more.
func (r *Recorder) ReportDropped(q *LogQueue) {
	r.registry.GetOrRegister("Log.Dropped", metrics.NewFunctionalGauge(q.Dropped))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.report = func(lines int64) { r.log.Info("log lines dropped", "Lines", lines) }
}

// Record records one decision. Under load only a sample of the successes is
// logged, and one summary line per second counts the decisions left out. The
// ring buffer and the metrics include every decision.
func (r *Recorder) Record(d Decision) {
	d.normalize()
	r.mu.Lock()
	r.recent.push(d)
	counter := r.counter(counterKey{d.Kind, OutcomeName(d.Outcome), d.Reason})
	var timer metrics.Timer
	if (d.Kind == KindAnswer || d.Kind == KindCall) && d.Took > 0 && d.KindName != "" {
		timer = r.timer(d.KindName)
	}
	sampled := r.log.Enabled() && r.sampler.sample(&d)
	failures, successes, summary := r.sampler.summary(d.Time)
	r.mu.Unlock()

	counter.Inc(1)
	if timer != nil {
		timer.Update(d.Took)
	}
	if sampled {
		writeLine(r.log, &d)
	}
	if summary {
		r.log.Info("decisions left out", "Failures", failures, "Successes", successes)
	}
}

// counter returns the counter of a key. The caller must hold mu. Answers are
// counted by outcome and reason, all other decisions by kind and reason, so that
// the sum of Answers.* is the number of requests that callers made.
func (r *Recorder) counter(k counterKey) metrics.Counter {
	if k.kind != KindAnswer {
		k.outcome = ""
	}
	c, ok := r.counters[k]
	if !ok {
		name := "Decisions." + k.kind.String() + "." + k.reason.String()
		if k.kind == KindAnswer {
			name = "Answers." + k.outcome + "." + k.reason.String()
		}
		c = metrics.GetOrRegisterCounter(name, r.registry)
		r.counters[k] = c
	}
	return c
}

// timer returns the timer of a request kind. The caller must hold mu.
func (r *Recorder) timer(kindName string) metrics.Timer {
	t, ok := r.timers[kindName]
	if !ok {
		t = metrics.GetOrRegisterTimer("Time."+kindName, r.registry)
		r.timers[kindName] = t
	}
	return t
}

// Filter selects recent decisions.
type Filter struct {
	// RequestID selects the decisions of one request; empty selects all.
	RequestID string
	// Limit bounds the number of decisions; 0 or less means no bound.
	Limit int
}

// Recent returns the decisions that the filter selects, newest first.
func (r *Recorder) Recent(f Filter) []Decision {
	if f.Limit <= 0 {
		f.Limit = math.MaxInt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.last(f.Limit, func(d *Decision) bool {
		return f.RequestID == "" || d.RequestID == f.RequestID
	})
}
