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

// maxResends is how often the gate itself sends a request again that the
// backend server refused although it had room.
const maxResends = 3

// reserves holds the part of the allowed repeats that calls of a class leave to
// others. A call is one of several that its tree needs, so a repeat of it is
// worth less than that of a request without calls above it.
var reserves = [classifier.NumClasses]float64{
	classifier.ClassBulk: 0.95, classifier.ClassBrowse: 0.85, classifier.ClassStandard: 0.4, classifier.ClassCritical: 0.25,
}

// reserve is the part of the allowed repeats that a request leaves to others.
func reserve(m *encoder.Run) float64 {
	if m.GetDepth() == 0 {
		return 0
	}
	return reserves[classOf(m)]
}

// repeats bounds the repeats that reach the backend server. It is safe for
// concurrent use. A nil one sets no bound and allows no resend.
type repeats struct {
	mu     sync.Mutex
	window *budgeter.Window
}

// first counts the first try of a request, or one whose tree is a repeat.
func (r *repeats) first(now time.Duration, repeatedTree bool) {
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

// again tells whether a repeat may be sent, and counts it.
func (r *repeats) again(now time.Duration, m *encoder.Run) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.TryRetry(now, reserve(m))
}

// LimitRepeats bounds the repeats that this gate sends to its backend server in
// any window: to a share of the requests plus a slack.
func (h *Handler) LimitRepeats(share, slack float64, length time.Duration) {
	h.repeatsMu.Lock()
	defer h.repeatsMu.Unlock()
	if r := h.repeats.Load(); r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.window.SetBound(share, slack)
		return
	}
	h.repeats.Store(&repeats{window: budgeter.NewWindow(share, slack, length)})
}

// send hands a request to the backend server. A refusal by a server that has
// room says nothing about the next request, so it is sent again while repeats
// are allowed.
func (h *Handler) send(ctx context.Context, m *encoder.Run, c connector.Call) connector.Reply {
	r := h.repeats.Load()
	if !m.GetAgain() {
		r.first(h.clock.Now(), m.GetRepeatedTree())
	} else if !r.again(h.clock.Now(), m) {
		return connector.NotRun{Reason: resolver.ReasonNoRetryLeft}
	}
	for resends := 0; ; resends++ {
		reply := h.backend.Do(ctx, c)
		refused, ok := reply.(connector.NotRun)
		if !ok || refused.Reason != resolver.ReasonBackendRefused || r == nil || resends == maxResends || ctx.Err() != nil || !h.hasRoom() {
			return reply
		}
		if !r.again(h.clock.Now(), m) {
			return reply
		}
		h.record(m, recorder.KindRetry, resolver.NotRun{Reason: refused.Reason}, "the backend server has room; sent again")
	}
}

// roomShare is the part of the limit below which a backend server that refuses
// isn't full.
const roomShare = 0.8

// hasRoom tells whether the backend server should have free slots.
func (h *Handler) hasRoom() bool {
	ld := h.adm.load()
	return float64(ld.InFlight) < roomShare*float64(ld.Limit)
}
