package handler

import (
	"context"
	"sync"
	"time"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

// maxResends bounds how often the gate resends a request that the backend
// server refused although it had free capacity.
const maxResends = 3

// retryReserves holds, by class, the fraction of the retry budget that calls
// must leave to other requests. A call is one of several that its tree needs,
// so a retry of it is worth less than a retry of a request at the root of a
// tree.
var retryReserves = [classifier.NumClasses]float64{
	classifier.ClassBulk: 0.95, classifier.ClassBrowse: 0.85, classifier.ClassStandard: 0.4, classifier.ClassCritical: 0.25,
}

// retryReserve returns the fraction of the retry budget that a request must
// leave to others.
func retryReserve(m *encoder.Run) float64 {
	if m.GetDepth() == 0 {
		return 0
	}
	return retryReserves[classOf(m)]
}

// retryBudget is the retry budget of the backend server: it bounds the retries
// that reach it. It is safe for concurrent use. A nil budget sets no bound on
// the retries of senders; the gate itself then resends nothing.
type retryBudget struct {
	mu     sync.Mutex
	window *budgeter.Window
}

// countFirst counts the first attempt of a request. When the tree of the
// request is a retry, it counts as a retry.
func (r *retryBudget) countFirst(now time.Duration, repeatedTree bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if repeatedTree {
		r.window.CountRetry(now)
		return
	}
	r.window.CountFirst(now)
}

// allowRetry reports whether the budget allows a retry, and counts it if so.
func (r *retryBudget) allowRetry(now time.Duration, m *encoder.Run) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.TryRetry(now, retryReserve(m))
}

// SetRetryBudget sets the retry budget of this gate: in any time window of the
// given length it sends its backend server at most a share of the requests plus
// slack as retries.
func (h *Handler) SetRetryBudget(share, slack float64, length time.Duration) {
	h.retryBudgetMu.Lock()
	defer h.retryBudgetMu.Unlock()
	if r := h.retryBudget.Load(); r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.window.SetBound(share, slack)
		return
	}
	h.retryBudget.Store(&retryBudget{window: budgeter.NewWindow(share, slack, length)})
}

// send sends a request to the backend server. A server that refuses a request
// although it has free capacity may well accept the next one, so the request is
// resent while the retry budget allows it.
func (h *Handler) send(ctx context.Context, m *encoder.Run, c connector.Call) connector.Reply {
	r := h.retryBudget.Load()
	if !m.GetAgain() {
		r.countFirst(h.clock.Now(), m.GetRepeatedTree())
	} else if !r.allowRetry(h.clock.Now(), m) {
		return connector.NotRun{Reason: resolver.ReasonNoRetryLeft}
	}
	for resends := 0; ; resends++ {
		sent := h.clock.Now()
		reply := h.backend.Do(ctx, c)
		h.observeState(m, sent, reply)
		refused, ok := reply.(connector.NotRun)
		if !ok || c.Stream != nil || refused.Reason != resolver.ReasonBackendRefused || r == nil || resends == maxResends || ctx.Err() != nil || !h.backendHasCapacity() {
			return reply
		}
		if !h.admission.takeResend() || !r.allowRetry(h.clock.Now(), m) {
			return reply
		}
		h.record(m, recorder.KindRetry, resolver.NotRun{Reason: refused.Reason}, "the backend server has room; sent again")
	}
}

// freeCapacityShare is the fraction of the admission limit below which the
// backend server is assumed to have free capacity.
const freeCapacityShare = 0.8

// backendHasCapacity reports whether the backend server should have free
// capacity.
func (h *Handler) backendHasCapacity() bool {
	ld := h.admission.load()
	return float64(ld.InFlight) < freeCapacityShare*float64(ld.Limit)
}
