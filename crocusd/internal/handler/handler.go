package handler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"crocustack/core/admitter"
	"crocustack/core/authenticator"
	"crocustack/core/bodyreader"
	"crocustack/core/connector"
	"crocustack/core/detector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/tracer"
)

// Config holds the settings of a Handler.
type Config struct {
	MaxBodyBytes    int64
	HoldAnswerBytes int64 // Answers up to this size are buffered until complete.
	// PassThrough turns admission control off, for the baseline policy.
	PassThrough    bool
	PauseThreshold time.Duration
	// RequestIDAsToken uses the request ID as the token that associates outbound
	// calls with the run that makes them.
	RequestIDAsToken bool
	Admission        admitter.Config
	Gate             gatekeeper.Config
	// ServeTake answers a request for tokens of a rate limit; nil if there are none.
	ServeTake func(*encoder.Take) *encoder.TakeReply
	// OnOtherInstance is called when the backend server has refused a request because it is
	// not the instance that the request was for. It may be nil.
	OnOtherInstance func(instance string)
	// Evidence is stated in answers; nil for none.
	Evidence *authenticator.Evidence
	// Bodies bounds the bodies of runs that are held; nil for no bound. Long bodies
	// are streamed to the backend server and not held.
	Bodies *bodyreader.Budget
	// Suspects holds what the node knows of requests under which servers ended; nil
	// for a table of the handler's own.
	Suspects *quarantiner.Table
}

// Handler serves the streams that other nodes open. It is safe for concurrent
// use.
type Handler struct {
	cfg       Config
	self      gatekeeper.Incarnation
	clock     timekeeper.Clock
	backend   connector.Backend
	runs      *tracer.Registry
	calls     *tracer.Calls
	levels    *admitter.Levels
	rec       *recorder.Recorder
	admission *admission
	pause     *detector.PauseDetector

	gateMu sync.Mutex
	gate   *gatekeeper.Gate
	// finished holds a channel for each running attempt; the channel is closed
	// when the attempt is finished or withdrawn.
	finished map[gatekeeper.AttemptID]chan struct{}

	// retryBudget is nil until SetRetryBudget is called.
	retryBudget   atomic.Pointer[retryBudget]
	retryBudgetMu sync.Mutex

	noticesMu sync.Mutex
	notices   *admitter.Notices

	stateMu sync.Mutex
	state   observedState

	ends serverEnds
	// trial holds a value while a request on probation runs or waits for the server.
	trial chan struct{}
	// pauses keeps the trials of one request apart.
	pauses trialPauses
	// lock is held by all runs, and exclusively by a trial.
	lock *runLock

	// position is the position of the platform's store that the node has read;
	// nil for none.
	position atomic.Pointer[connector.Position]
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a Handler for the backend server of this node.
func New(cfg Config, backend connector.Backend, self gatekeeper.Incarnation, clock timekeeper.Clock, runs *tracer.Registry,
	calls *tracer.Calls, levels *admitter.Levels, rec *recorder.Recorder,
) *Handler {
	if cfg.Suspects == nil {
		cfg.Suspects = quarantiner.NewTable()
	}
	return &Handler{
		cfg: cfg, self: self, clock: clock, runs: runs, calls: calls, levels: levels, rec: rec,
		backend:   backend,
		admission: newAdmission(clock, cfg.Admission),
		pause:     detector.NewPauseDetector(cfg.PauseThreshold),
		gate:      gatekeeper.New(cfg.Gate, self),
		finished:  make(map[gatekeeper.AttemptID]chan struct{}),
		notices:   admitter.NewNotices(),
		ends:      serverEnds{boot: self.BootID},
		trial:     make(chan struct{}, 1),
		lock:      newRunLock(),
	}
}

// Run drives the timers of admission control and pause detection until ctx is
// done.
func (h *Handler) Run(ctx context.Context) {
	go h.admission.run(ctx)
	ticker := time.NewTicker(h.cfg.PauseThreshold / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.pause.Tick(h.clock.Now())
		}
	}
}

// StartDraining makes the handler refuse new work for good.
func (h *Handler) StartDraining() {
	if h.draining.Swap(true) {
		return
	}
	h.gateMu.Lock()
	h.gate.StartDraining()
	h.gateMu.Unlock()
	h.rec.Record(recorder.Decision{Time: time.Now(), Kind: recorder.KindDrain, Service: h.self.Service, Reason: resolver.ReasonDraining})
}

// Draining reports whether StartDraining was called.
func (h *Handler) Draining() bool { return h.draining.Load() }

// Active returns the number of requests that have arrived and are not yet
// answered.
func (h *Handler) Active() int64 { return h.active.Load() }

// SetLimits changes the maximum number of concurrent requests at the backend
// server and the bounds of the queue in front of it.
func (h *Handler) SetLimits(slots int, queueTime time.Duration, queueLength int) {
	h.admission.setLimits(slots, queueTime, queueLength)
}

// SetPosition sets the position of the store that answers report.
func (h *Handler) SetPosition(p connector.Position) { h.position.Store(&p) }

// storePosition returns the position of the store that the node has read.
func (h *Handler) storePosition() connector.Position {
	if p := h.position.Load(); p != nil {
		return *p
	}
	return connector.Position{}
}

// Load returns the current load for the admin API.
func (h *Handler) Load() admitter.Load { return h.admission.load() }

// Stream serves one request on a stream.
func (h *Handler) Stream(l *linker.Link, s *linker.Stream) {
	req := &encoder.Request{}
	if err := s.Receive(req); err != nil {
		return
	}
	switch m := req.GetMessage().(type) {
	case *encoder.Request_Run:
		h.active.Add(1)
		defer h.active.Add(-1)
		h.serveRun(l, s, m.Run)
	case *encoder.Request_Void:
		h.serveVoid(s, m.Void)
	case *encoder.Request_Mint:
		h.serveMint(s, m.Mint)
	case *encoder.Request_Suspicions:
		h.serveSuspicions(s, m.Suspicions)
	case *encoder.Request_Take:
		if h.cfg.ServeTake != nil {
			_ = s.Send(h.cfg.ServeTake(m.Take)) // A lost reply wastes its tokens.
		}
	}
}

func (h *Handler) serveRun(l *linker.Link, s *linker.Stream, m *encoder.Run) {
	late := lateness(&l.Lateness, m, timekeeper.SinceBoot())
	ctx, cancel := context.WithTimeout(context.Background(), remaining(m, late))
	defer cancel()
	body, err := h.receiveBody(s, m)
	if err != nil {
		h.refuse(s, m, resolver.ReasonBodyTooLarge, m.GetAllowance())
		_ = s.CloseUnread() // The stream or its link may have failed already.
		return
	}
	gone := body.gone
	defer awaitReader(ctx, gone)
	defer body.end(s)
	if ctx.Err() != nil {
		h.refuse(s, m, resolver.ReasonDeadlineExceeded, m.GetAllowance())
		return
	}
	if !m.GetLastChoice() && h.serverLeaving(m.GetInstance()) {
		h.refuse(s, m, resolver.ReasonDraining, m.GetAllowance())
		return
	}
	if h.pause.PausedSince(h.clock.Now(), h.clock.At(l.LastRoundTrip())) && !h.confirmLink(l, gone) {
		return
	}
	u, ok := h.judge(ctx, s, m, body, gone)
	if !ok {
		return
	}
	defer u.end()
	if !h.begin(ctx, s, m, gone) {
		return
	}
	defer h.endAbandoned(m)
	h.admit(ctx, s, m, u, gone)
}

// maxRemainingMicros bounds the time that a sender may request to one hour.
const maxRemainingMicros = 3600 * 1e6

// lateness returns how long a request that is read at now was delayed on its
// way.
func lateness(l *detector.LatenessEstimator, m *encoder.Run, now time.Duration) time.Duration {
	if m.GetSentMicros() == 0 || now == 0 {
		return 0 // The uptime of one of the two machines is unknown.
	}
	return l.Observe(now, time.Duration(m.GetSentMicros())*time.Microsecond)
}

// remaining returns the time that is left for a request that arrived late by
// the given duration.
func remaining(m *encoder.Run, late time.Duration) time.Duration {
	stated := time.Duration(min(m.GetRemainingMicros(), maxRemainingMicros)) * time.Microsecond
	return max(stated-late, 0)
}

// awaitReader waits until the sender has read the answer to its end, which it shows by
// closing the stream, or the time of the request is over. A request counts as active
// until then, so that a planned stop doesn't close the link over a long answer whose
// caller reads slowly.
func awaitReader(ctx context.Context, gone <-chan struct{}) {
	select {
	case <-gone:
	case <-ctx.Done():
	}
}

// confirmLink holds back a request that was read after this process was paused
// until a round trip shows that the link is alive. The sender may have
// abandoned the request during the pause; it has then closed the stream or the
// link, and confirmLink returns false.
func (h *Handler) confirmLink(l *linker.Link, gone <-chan struct{}) bool {
	if err := l.RoundTrip(); err != nil {
		return false
	}
	select {
	case <-gone:
		return false
	default:
		return true
	}
}

// admit waits for admission and executes the request.
func (h *Handler) admit(ctx context.Context, s *linker.Stream, m *encoder.Run, u *subject, gone <-chan struct{}) {
	waitCtx, cancelWait := context.WithCancel(ctx)
	defer cancelWait()
	admitted := make(chan struct{})
	go func() {
		select {
		case <-gone:
			cancelWait()
		case <-admitted:
		}
	}()
	arrived := h.clock.Now()
	id, reason := uint64(0), resolver.ReasonNone
	if !h.cfg.PassThrough {
		h.admission.assumeRate(m.GetRateLimit())
		id, reason = h.admission.acquire(waitCtx, admitter.Request{
			Class: classOf(m), Kind: m.GetKind(), Depth: m.GetDepth(), TreeID: m.GetTreeId(), AppliedLevel: m.GetAppliedLevel(),
			Deadline: arrived + time.Until(deadlineOf(ctx)), LastChoice: m.GetLastChoice(),
		})
	}
	leave := func() {}
	if reason == resolver.ReasonNone {
		if leave, reason = u.enter(waitCtx); reason != resolver.ReasonNone && !h.cfg.PassThrough {
			h.admission.release(id, admitter.Result{Cancelled: true})
		}
	}
	close(admitted)
	if reason != resolver.ReasonNone {
		h.withdraw(m)
		h.refuse(s, m, reason, m.GetAllowance())
		return
	}
	defer leave()
	h.record(m, recorder.KindAdmit, nil, "")
	result := admitter.Result{Failed: true}
	defer func() {
		if !h.cfg.PassThrough {
			h.admission.release(id, result)
		}
	}()
	result = h.execute(ctx, s, m, u, gone)
}

func deadlineOf(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}
