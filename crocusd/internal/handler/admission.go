package handler

import (
	"context"
	"sync"
	"time"

	"crocustack/core/admitter"
	"crocustack/core/resolver"
	"crocustack/core/timekeeper"
)

// tickInterval bounds how long after its queueing time has expired a queued
// request is shed.
const tickInterval = 10 * time.Millisecond

// admission blocks requests until an Admitter has decided about them. It is
// safe for concurrent use.
type admission struct {
	clock timekeeper.Clock

	mu sync.Mutex
	a  *admitter.Admitter
	// waiting holds a channel of capacity 1 for each offered request without a
	// final decision, keyed by request ID.
	waiting map[uint64]chan admitter.Decision
	nextID  uint64
}

func newAdmission(clock timekeeper.Clock, cfg admitter.Config) *admission {
	return &admission{clock: clock, a: admitter.New(cfg), waiting: make(map[uint64]chan admitter.Decision)}
}

// acquire blocks until the request is admitted or shed, or ctx is done. A
// request that is admitted (ReasonNone) must be ended with release.
func (s *admission) acquire(ctx context.Context, r admitter.Request) (uint64, resolver.Reason) {
	ch := make(chan admitter.Decision, 1)
	s.mu.Lock()
	s.nextID++
	r.ID = s.nextID
	s.waiting[r.ID] = ch
	s.deliver(s.a.Offer(s.clock.Now(), r))
	s.mu.Unlock()

	select {
	case d := <-ch:
		return s.result(r.ID, d)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.deliver(s.a.Cancel(s.clock.Now(), r.ID))
	delete(s.waiting, r.ID)
	s.mu.Unlock()
	select {
	case d := <-ch:
		// The request was admitted while it was being cancelled: release its
		// slot.
		if id, reason := s.result(r.ID, d); reason == resolver.ReasonNone {
			s.release(id, admitter.Result{Cancelled: true})
		}
	default:
	}
	if ctx.Err() == context.DeadlineExceeded {
		return 0, resolver.ReasonDeadlineExceeded
	}
	return 0, resolver.ReasonCancelled
}

// result returns the ID of an admitted request, or the reason why it was shed.
func (s *admission) result(id uint64, d admitter.Decision) (uint64, resolver.Reason) {
	if shed, ok := d.(admitter.Shed); ok {
		return 0, shed.Reason
	}
	return id, resolver.ReasonNone
}

// release frees the slot of an admitted request.
func (s *admission) release(id uint64, res admitter.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.a.Release(s.clock.Now(), id, res))
}

// observeRate applies what an answer of the backend server states about its rate
// limit.
func (s *admission) observeRate(sent time.Duration, limited bool, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.a.ObserveRate(s.clock.Now(), sent, limited, perSecond))
}

// assumeRate applies the rate limit that a sender has heard of; 0 for none.
func (s *admission) assumeRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.a.AssumeRate(s.clock.Now(), perSecond)
}

// takeResend reports whether an admitted request may be sent once more.
func (s *admission) takeResend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.a.TakeResend(s.clock.Now())
}

func (s *admission) load() admitter.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.a.Load()
}

func (s *admission) setLimits(slots int, queueTime time.Duration, queueLength int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.a.SetSlots(s.clock.Now(), slots)
	s.a.SetQueue(queueTime, queueLength)
}

// run ticks the Admitter until ctx is done, so that queued requests time out.
func (s *admission) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			s.deliver(s.a.Tick(s.clock.Now()))
			s.mu.Unlock()
		}
	}
}

// deliver sends final decisions to the requests that wait for them. The caller
// holds mu.
func (s *admission) deliver(ds []admitter.Decision) {
	for _, d := range ds {
		var id uint64
		switch d := d.(type) {
		case admitter.Admit:
			id = d.ID
		case admitter.Shed:
			id = d.ID
		case admitter.Queue:
			continue
		}
		if ch, ok := s.waiting[id]; ok {
			ch <- d
			delete(s.waiting, id)
		}
	}
}
