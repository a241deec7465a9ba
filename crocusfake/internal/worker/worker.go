package worker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers set by the loader and forwarded by workers to nested calls.
const (
	HeaderKey = "X-Request-Key"
	HeaderTry = "X-Request-Try"
)

// Call is a nested call that a route makes.
type Call struct {
	Service string `yaml:"Service"`
	Method  string `yaml:"Method"`
	Path    string `yaml:"Path"`
	// Size must equal Size of the called route.
	Size int `yaml:"Size"`
}

// Route is one kind of request that a service handles.
type Route struct {
	Method string `yaml:"Method"`
	// Path is a prefix of the paths that the route handles.
	Path string `yaml:"Path"`
	// Mean is the mean service time, without nested calls.
	Mean time.Duration `yaml:"Mean"`
	// Calls are made one after another once the service time has passed.
	Calls      []Call `yaml:"Calls"`
	Idempotent bool   `yaml:"Idempotent"`
	// Size is the length of the answer's filler in bytes; if 0, the length
	// depends on the key.
	Size int `yaml:"Size"`
}

// Config describes one backend server.
type Config struct {
	Service  string `yaml:"Service"`
	Instance string `yaml:"Instance"`
	// Slots is the maximum number of requests that run concurrently.
	Slots int `yaml:"Slots"`
	// Connections is the maximum number of running and waiting requests; further
	// ones are refused.
	Connections int `yaml:"Connections"`
	// Outbound is the outbound listener of the node, as host:port.
	Outbound string  `yaml:"Outbound"`
	Routes   []Route `yaml:"Routes"`
	// Spread is the sigma of the log-normal service time; 0 makes it constant.
	Spread float64 `yaml:"Spread"`
	// Cold is the duration of the slow start, during which service times are
	// multiplied by coldFactor and the health endpoint reports Starting.
	Cold time.Duration `yaml:"Cold"`
	// ReportLag delays the values reported by the health and load endpoints.
	ReportLag time.Duration `yaml:"ReportLag"`
	// Mislead makes the health endpoint always report Ready and the load
	// endpoint 0.
	Mislead bool   `yaml:"Mislead"`
	Seed    uint64 `yaml:"Seed"`
}

// coldFactor multiplies service times during the slow start.
const coldFactor = 3

// Worker simulates one backend server. It is safe for concurrent use.
type Worker struct {
	cfg     Config
	ledger  Ledger
	slots   chan struct{}
	client  *http.Client
	started time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	slow     float64
	draining bool
	// resumed is a closed channel unless the server is paused.
	resumed chan struct{}
	present int
	reports []stateReport
}

// stateReport is a state that the health and load endpoints report after the
// report lag.
type stateReport struct {
	at       time.Time
	draining bool
	present  int
}

// New returns a backend server whose slow start begins now.
func New(cfg Config) (*Worker, error) {
	if cfg.Slots < 1 || cfg.Connections < cfg.Slots {
		return nil, errors.Newf("%s: Slots %d and Connections %d must satisfy 1 <= Slots <= Connections", cfg.Instance, cfg.Slots, cfg.Connections)
	}
	w := &Worker{
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.Slots),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Connections}},
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		slow:    1,
		resumed: make(chan struct{}),
	}
	close(w.resumed)
	return w, nil
}

// Ledger returns the ledger of the backend server.
func (w *Worker) Ledger() *Ledger { return &w.ledger }

// SetSlow sets the factor for service times that are drawn from now on.
func (w *Worker) SetSlow(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = factor
}

// SetPaused pauses or resumes all processing, including refusals.
func (w *Worker) SetPaused(paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.resumed:
		if paused {
			w.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(w.resumed)
		}
	}
}

// SetDraining makes the server refuse new requests and complete those that it
// has accepted, or ends this state.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
	w.recordState()
}

// Present returns the number of running and waiting requests.
func (w *Worker) Present() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.present
}

// Close closes idle connections to the node.
func (w *Worker) Close() { w.client.CloseIdleConnections() }

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.ledger.recordArrival(r.Header.Get(HeaderKey), r.Header.Get(HeaderTry))
	rw.Header().Set("Crocus-Exchange", r.Header.Get("Crocus-Exchange"))
	// net/http detects a closed connection only after the body was read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get("Crocus-Timeout-Ms"), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	route, ok := w.route(r)
	if !ok {
		http.NotFound(rw, r)
		return
	}
	if w.waitResumed(ctx) != nil {
		refuse(rw, false)
		return
	}
	if entered, draining := w.tryEnter(); !entered {
		refuse(rw, draining)
		return
	}
	defer w.leave()
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		refuse(rw, false)
		return
	}
	defer func() { <-w.slots }()
	if w.waitResumed(ctx) != nil || ctx.Err() != nil {
		refuse(rw, false)
		return
	}
	w.run(ctx, rw, r, route, body)
}

func (w *Worker) run(ctx context.Context, rw http.ResponseWriter, r *http.Request, route Route, body []byte) {
	key := r.Header.Get(HeaderKey)
	entry := w.ledger.beginRun(Run{
		Key: key, Try: r.Header.Get(HeaderTry), Request: r.Header.Get("Crocus-Request"),
		Service: w.cfg.Service, Instance: w.cfg.Instance, Path: r.URL.Path,
		Idempotent: route.Idempotent, Begin: time.Now(),
	})
	err := w.simulateWork(ctx, route)
	for i, c := range route.Calls {
		if err == nil {
			// The key contains the run, because the nested calls of an idempotent
			// parent that runs twice are different requests.
			err = w.call(ctx, r, c, fmt.Sprintf("%s/%d@%s:%d", key, i, w.cfg.Instance, entry))
		}
	}
	if err == nil {
		err = w.waitResumed(ctx)
	}
	w.ledger.endRun(entry, time.Now(), err == nil, errors.Is(ctx.Err(), context.Canceled))
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		http.Error(rw, "no time left", http.StatusGatewayTimeout)
	case err != nil:
		http.Error(rw, err.Error(), http.StatusBadGateway)
	default:
		b := Answer(w.cfg.Service, r.URL.Path, key, route.Size, body)
		rw.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = rw.Write(b)
	}
}

// simulateWork simulates the service's own work by waiting for a random service
// time.
func (w *Worker) simulateWork(ctx context.Context, route Route) error {
	w.mu.Lock()
	d := float64(route.Mean) * w.slow * math.Exp(w.cfg.Spread*w.rng.NormFloat64()-w.cfg.Spread*w.cfg.Spread/2)
	if time.Since(w.started) < w.cfg.Cold {
		d *= coldFactor
	}
	w.mu.Unlock()
	timer := time.NewTimer(time.Duration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return w.waitResumed(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Worker) call(ctx context.Context, parent *http.Request, c Call, key string) error {
	req, err := http.NewRequestWithContext(ctx, c.Method, fmt.Sprintf("http://%s/%s%s", w.cfg.Outbound, c.Service, c.Path), NewBody(c.Method, nil))
	if err != nil {
		return errors.Wrap(err, "nested call")
	}
	for _, h := range []string{"Crocus-Parent", "Traceparent"} {
		if v := parent.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(HeaderKey, key)
	req.Header.Set(HeaderTry, parent.Header.Get(HeaderTry))
	resp, err := w.client.Do(req)
	if err != nil {
		w.ledger.recordCall(NestedCall{Key: key, Try: req.Header.Get(HeaderTry), Service: c.Service, Outcome: "Unknown", Whole: true})
		return errors.Wrapf(err, "call %s", c.Service)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	nested := NestedCall{
		Key: key, Try: req.Header.Get(HeaderTry), Service: c.Service, Status: resp.StatusCode, Whole: true,
		Outcome: resp.Header.Get("Crocus-Outcome"), Reason: resp.Header.Get("Crocus-Reason"),
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		nested.Whole = bytes.Equal(b, Answer(c.Service, c.Path, key, c.Size, nil))
	}
	w.ledger.recordCall(nested)
	switch {
	case err != nil:
		return errors.Wrapf(err, "read answer of %s", c.Service)
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("%s answered %d %s %s", c.Service, resp.StatusCode, nested.Outcome, nested.Reason)
	case !nested.Whole:
		return errors.Newf("%s answered with a wrong body", c.Service)
	}
	return nil
}

func (w *Worker) route(r *http.Request) (Route, bool) {
	for _, route := range w.cfg.Routes {
		if route.Method == r.Method && strings.HasPrefix(r.URL.Path, route.Path) {
			return route, true
		}
	}
	return Route{}, false
}

func (w *Worker) tryEnter() (entered, draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining || w.present >= w.cfg.Connections {
		return false, w.draining
	}
	w.present++
	w.recordState()
	return true, false
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present--
	w.recordState()
}

func (w *Worker) waitResumed(ctx context.Context) error {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func refuse(w http.ResponseWriter, draining bool) {
	w.Header().Set("Crocus-Outcome", "NotRun")
	if draining {
		w.Header().Set("Crocus-Draining", "true")
	}
	http.Error(w, "refused without running", http.StatusServiceUnavailable)
}
