package admitter

import (
	"time"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

// window is the time between two adjustments of limit, level and reserve. It
// is twice the default queue time, so a queue that stands for a whole window
// is not a burst.
const window = 100 * time.Millisecond

// rateBoundHold is the time for which the rate level stays in force after the last
// window in which a request waited for the rate limit.
const rateBoundHold = time.Second

// Admitter is the admission controller of one gate. It is not safe for
// concurrent use. Time must not go backwards from call to call.
type Admitter struct {
	cfg             Config
	limiter         limiter
	levelController levelController
	// planner replaces the levelController if the capacity is known.
	planner planner
	// rate is the rate limit that the backend server states. Until rateBoundUntil
	// the planner computes its rate level from it.
	rate           rateLimit
	rateBoundUntil time.Duration
	queue          queue
	// inFlight holds the admitted requests by ID. A request is admitted only
	// while there are fewer of them than the limit.
	inFlight map[uint64]running
	// peak is the largest number of requests in flight in this window.
	peak       int
	nextWindow time.Duration
	// reserve is the number of slots that classes below ClassCritical leave
	// free. Without it, long-running requests of lower classes take every slot
	// that becomes free, until too few are left for ClassCritical.
	reserve float64
	// lowerInFlight is the number of requests in flight below ClassCritical.
	lowerInFlight int
	// maxTopWait is the longest queueing time of a ClassCritical request that
	// left the queue in this window while lower classes held slots.
	maxTopWait time.Duration
	// out collects the decisions of the current call.
	out []Decision
}

// New returns an admitter. Its ramp starts with the first call.
func New(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	a := &Admitter{
		cfg:      cfg,
		limiter:  newLimiter(cfg.Slots, cfg.RampTime),
		planner:  newPlanner(),
		inFlight: make(map[uint64]running),
	}
	a.limiter.fixed = cfg.CapacityKnown
	a.SetSlots(0, cfg.Slots)
	return a
}

// Offer decides whether a new request is admitted, queued or shed.
func (a *Admitter) Offer(now time.Duration, r Request) []Decision {
	a.limiter.start(now)
	r.Class = min(max(r.Class, 0), classifier.NumClasses-1)
	e := entry{Request: r, arrived: now, startDeadline: a.latestStart(now, r), priority: Priority(r.Class, r.TreeID)}
	if e.expired(now, a.cfg.QueueTime) {
		return []Decision{Shed{r.ID, resolver.ReasonDeadlineExceeded}}
	}
	a.rate.arrived++
	if !r.LastChoice && !a.rate.allows(now, a.queue.len+1) {
		return []Decision{Shed{r.ID, resolver.ReasonRateLimited}}
	}
	if a.cfg.CapacityKnown {
		a.planner.offer(r)
	}
	a.levelController.offered[e.priority]++
	// A free slot is used regardless of the level when the queue is empty, so
	// that a level that has not fallen yet wastes no capacity.
	if a.queue.len == 0 && a.hasFreeSlot(now, r.Class) {
		a.admit(now, e)
		return a.flush()
	}
	if a.cfg.CapacityKnown && a.estimatedStart(now, e) > e.startDeadline {
		return []Decision{Shed{r.ID, resolver.ReasonQueueFull}}
	}
	if e.priority < a.levelFor(r) && (r.Depth == 0 || !a.cfg.CapacityKnown) {
		return []Decision{Shed{r.ID, resolver.ReasonLevelBelow}}
	}
	e.serviceTime = a.planner.serviceTime(r.Kind)
	a.queue.push(e)
	a.dispatch(now)
	if a.queue.len > a.queueLength() {
		a.shed(now, a.queue.popWorst(now), resolver.ReasonQueueFull)
	}
	if !a.decided(r.ID) {
		a.out = append(a.out, Queue{r.ID})
	}
	return a.flush()
}

// latestStart returns the latest time at which a request must get a slot to be
// answered before its deadline, or 0 if it has no deadline. Half of the
// remaining time may always be spent waiting: a kind that was slow once would
// otherwise be refused permanently, since refused requests give no samples.
func (a *Admitter) latestStart(now time.Duration, r Request) time.Duration {
	if r.Deadline <= now || !a.cfg.CapacityKnown {
		return r.Deadline
	}
	return r.Deadline - min(a.planner.serviceTime(r.Kind), (r.Deadline-now)/2)
}

// estimatedStart estimates the time at which a queued request would get a slot.
// It assumes that the queued requests of its class and above run first and share
// the limit. It returns 0 for a request without a deadline.
func (a *Admitter) estimatedStart(now time.Duration, e entry) time.Duration {
	if e.startDeadline <= 0 {
		return 0
	}
	ahead, requests := time.Duration(0), 0
	for c := e.Class; c < classifier.NumClasses; c++ {
		ahead += a.queue.work[c]
		requests += a.queue.perClass[c]
	}
	return now + max(ahead/time.Duration(max(a.limiter.lastEffective, 1)), a.rate.delay(requests))
}

// level returns the current admission level.
func (a *Admitter) level() uint32 {
	if a.cfg.CapacityKnown {
		return a.planner.level
	}
	return a.levelController.level
}

// levelFor returns the admission level that applies to a request. The rate limit
// of the backend server raises it only for requests without another upstream.
func (a *Admitter) levelFor(r Request) uint32 {
	if a.cfg.CapacityKnown && r.LastChoice {
		return a.planner.rateLevel
	}
	return a.level()
}

// Release ends an admitted request. It ignores an unknown ID.
func (a *Admitter) Release(now time.Duration, id uint64, res Result) []Decision {
	run, ok := a.inFlight[id]
	if !ok {
		return nil
	}
	delete(a.inFlight, id)
	if run.class < classifier.ClassCritical {
		a.lowerInFlight--
	}
	if a.cfg.CapacityKnown && !res.Refused && !res.Cancelled {
		a.planner.sample(run.kind, res.Latency)
	}
	switch {
	case res.Refused:
		a.limiter.refused(now, run.inFlight)
	case res.Cancelled || res.Failed:
	default:
		a.limiter.sample(now, run.latency, res.Latency)
	}
	a.dispatch(now)
	return a.flush()
}

// Cancel sheds a queued request with ReasonCancelled after its caller went away.
// A request that is not queued has been admitted or shed before; if it was
// admitted, it must still be released.
func (a *Admitter) Cancel(now time.Duration, id uint64) []Decision {
	if e, ok := a.queue.remove(id); ok {
		a.shed(now, e, resolver.ReasonCancelled)
	}
	return a.flush()
}

// Tick sheds requests that waited too long and adjusts limit, level and
// reserve. It must be called every 10 ms; queueing time is bounded by QueueTime
// plus that interval.
func (a *Admitter) Tick(now time.Duration) []Decision {
	a.limiter.start(now)
	a.queue.observe(now, a.cfg.Target)
	for _, e := range a.queue.removeIf(func(e entry) bool { return e.expired(now, a.cfg.QueueTime) }) {
		a.shedExpired(now, e)
	}
	if now >= a.nextWindow {
		a.nextWindow = now + window
		a.endWindow(now)
	}
	a.dispatch(now)
	return a.flush()
}

func (a *Admitter) endWindow(now time.Duration) {
	a.rate.endWindow(now)
	if a.cfg.CapacityKnown {
		if a.queue.len > 0 && !a.rate.allows(now, 1) {
			a.rateBoundUntil = now + rateBoundHold
		}
		bound := 0.0
		if now < a.rateBoundUntil {
			bound = a.rate.perSecond
		}
		a.planner.endWindow(now, a.limiter.effective(now), bound, a.queue.totalWork())
		return
	}
	limit := a.limiter.effective(now)
	a.limiter.endWindow(now, a.peak)
	if a.levelController.endWindow(now, &a.queue) {
		for _, e := range a.queue.removeIf(func(e entry) bool { return e.priority < a.levelController.level }) {
			a.shed(now, e, resolver.ReasonLevelBelow)
		}
	}
	// The threshold is half the queue time, so that a growing queue of the
	// highest class can still be admitted before it times out.
	if a.maxTopWait > a.cfg.QueueTime/2 {
		a.reserve = min(a.reserve+max(1, float64(limit)/10), float64(limit)/2)
	} else {
		// The reserve halves in 3.4 s. Slow requests of lower classes hold slots
		// for about as long; with a faster decay they would take the slots
		// before the next burst of the highest class.
		a.reserve = max(0.98*a.reserve-0.01, 0)
	}
	a.peak = len(a.inFlight)
	a.maxTopWait = 0
}

// SetSlots changes the upper bound of the limit when a new note is applied.
func (a *Admitter) SetSlots(now time.Duration, slots int) {
	a.cfg.Slots = max(slots, 1)
	limit := a.cfg.Slots
	if a.cfg.CapacityKnown {
		limit = max(int(a.cfg.LimitShare*float64(limit)), 1)
	}
	a.limiter.setSlots(now, limit)
}

// SetQueue changes the bounds of the queue when a new note is applied; 0 takes
// the default. The new bounds also apply to requests that are already queued.
func (a *Admitter) SetQueue(queueTime time.Duration, length int) {
	a.cfg.QueueTime, a.cfg.QueueLength, a.cfg.Target = queueTime, length, 0
	a.cfg = a.cfg.withDefaults()
}

// ObserveRate applies the rate limit in requests a second that an answer of the
// backend server states, or that it states none. sent is when the request was
// sent to the backend server.
func (a *Admitter) ObserveRate(now, sent time.Duration, limited bool, perSecond float64) []Decision {
	a.rate.observe(now, sent, limited, perSecond)
	a.dispatch(now)
	return a.flush()
}

// AssumeRate applies the rate limit that a sender has heard of while none of the
// backend server's answers is known; 0 for none.
func (a *Admitter) AssumeRate(now time.Duration, perSecond float64) { a.rate.assume(now, perSecond) }

// TakeResend reports whether the rate limit lets an admitted request be sent to
// the backend server once more, and counts it if so.
func (a *Admitter) TakeResend(now time.Duration) bool { return a.rate.take(now) }

// Restart begins the ramp again after a restart of the backend server.
func (a *Admitter) Restart(now time.Duration) {
	a.limiter.restart(now)
}

// Load returns the state to report to peers. The limit is that of the last call.
func (a *Admitter) Load() Load {
	return Load{
		InFlight:  len(a.inFlight),
		Queued:    a.queue.len,
		Limit:     a.limiter.lastEffective,
		Level:     a.level(),
		RateLevel: max(a.planner.rateLevel, a.level()),
		RateLimit: a.rate.perSecond,
		RateLoad:  a.rate.load(),
	}
}

func (a *Admitter) queueLength() int {
	if a.cfg.QueueLength > 0 {
		return a.cfg.QueueLength
	}
	return max(4*a.cfg.Slots, 64)
}

func (a *Admitter) hasFreeSlot(now time.Duration, c classifier.Class) bool {
	n := a.limiter.effective(now)
	if c < classifier.ClassCritical {
		n -= int(a.reserve)
	}
	return len(a.inFlight) < n && a.rate.allows(now, 1)
}

// dispatch admits queued requests, the highest class first, while slots are
// free. A lower class never has more free slots than a higher one, so it stops
// at the first class without a free slot.
func (a *Admitter) dispatch(now time.Duration) {
	for a.queue.len > 0 && a.hasFreeSlot(now, a.queue.highestClass()) {
		e := a.queue.popBest(now)
		if e.expired(now, a.cfg.QueueTime) {
			a.shedExpired(now, e)
			continue
		}
		a.admit(now, e)
	}
}

func (a *Admitter) admit(now time.Duration, e entry) {
	a.recordWait(now, e)
	a.rate.take(now)
	a.inFlight[e.ID] = running{class: e.Class, latency: a.limiter.statsFor(e.Kind), kind: e.Kind, inFlight: len(a.inFlight) + 1}
	if e.Class < classifier.ClassCritical {
		a.lowerInFlight++
	}
	a.peak = max(a.peak, len(a.inFlight))
	a.out = append(a.out, Admit{e.ID})
}

func (a *Admitter) shed(now time.Duration, e entry, reason resolver.Reason) {
	a.recordWait(now, e)
	a.out = append(a.out, Shed{e.ID, reason})
}

func (a *Admitter) shedExpired(now time.Duration, e entry) {
	reason := resolver.ReasonQueueTimeout
	if e.Deadline > 0 && now >= e.Deadline {
		reason = resolver.ReasonDeadlineExceeded
	}
	a.shed(now, e, reason)
}

func (a *Admitter) recordWait(now time.Duration, e entry) {
	if e.Class == classifier.ClassCritical && a.lowerInFlight > 0 {
		a.maxTopWait = max(a.maxTopWait, now-e.arrived)
	}
}

// decided reports whether the current call has admitted or shed the request.
func (a *Admitter) decided(id uint64) bool {
	for _, d := range a.out {
		switch d := d.(type) {
		case Admit:
			if d.ID == id {
				return true
			}
		case Shed:
			if d.ID == id {
				return true
			}
		case Queue:
		}
	}
	return false
}

// flush returns the collected decisions; the caller may keep them.
func (a *Admitter) flush() []Decision {
	out := a.out
	a.out = nil
	return out
}
