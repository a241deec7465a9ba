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

// Config holds the settings of an Admitter. Zero fields take the defaults.
type Config struct {
	// Slots is the number of requests that the backend server can run at once.
	// The limit never exceeds it. At least 1.
	Slots int
	// QueueTime is the longest time in the queue; default 50 ms.
	QueueTime time.Duration
	// QueueLength is the largest number of queued requests; default 4 × Slots,
	// at least 64.
	QueueLength int
	// Target is the acceptable queueing delay; default QueueTime / 2.
	Target time.Duration
	// Stated says that Slots is what the backend server really runs at once. The
	// limit is then LimitShare of it and nothing is learned about it; a request
	// may wait as long as its deadline leaves time for it, and the level comes
	// from demand and capacity. Otherwise limit and level are found by trial.
	Stated bool
	// LimitShare is the part of the stated slots that is used; default 0.95,
	// since many servers slow down when nearly full.
	LimitShare float64
	// RampTime is the time from a cold start to the full limit; default 3 s,
	// negative for none.
	RampTime time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.QueueTime <= 0 {
		c.QueueTime = 50 * time.Millisecond
		if c.Stated {
			c.QueueTime = 5 * time.Second
		}
	}
	if c.LimitShare <= 0 {
		c.LimitShare = 0.95
	}
	if c.Target <= 0 {
		c.Target = c.QueueTime / 2
	}
	if c.RampTime == 0 {
		c.RampTime = 3 * time.Second
	}
	return c
}

// Request is what a decision depends on.
type Request struct {
	// ID is unique among the requests that are queued or in flight.
	ID    uint64
	Class classifier.Class
	// Kind selects the latency baseline. Requests without a kind share one.
	Kind string
	// Depth is the number of calls between the caller's request and this one.
	Depth  uint32
	TreeID uint64
	// AppliedLevel is the admission level that the tree had to reach where it
	// began. It tells how many others were refused there.
	AppliedLevel uint32
	// Deadline is the time after which the answer is useless; 0 for none.
	Deadline time.Duration
}

// Result is how an admitted request ended.
type Result struct {
	Latency time.Duration
	// Refused: the backend server rejected the request without running it.
	Refused bool
	// Cancelled: the caller went away or the deadline passed. The latency is
	// no sample, since the request would have taken longer.
	Cancelled bool
	// Failed: the backend server answered with an error. The latency is no
	// sample, since errors are often faster than the work.
	Failed bool
}

// Load is the state that a node reports to its peers.
type Load struct {
	InFlight, Queued, Limit int
	Level                   uint32
}

type running struct {
	class    classifier.Class
	kind     *baseline
	name     string // Of the kind.
	inFlight int    // At the admission, with the request itself.
}

// Admitter is the admission control of one gate. It is not safe for concurrent
// use. Time must not go backwards from call to call.
type Admitter struct {
	cfg     Config
	limiter limiter
	leveler leveler
	// planner replaces the leveler where the slots are stated.
	planner planner
	queue   queue
	// inFlight never holds more than the limit at the time of the admission.
	inFlight map[uint64]running
	// peak is the largest number in flight in this window.
	peak       int
	nextWindow time.Duration
	// reserve is the number of slots that classes below ClassCritical leave
	// free. Without it, slow requests of lower classes take each slot that is
	// free for a moment and keep it, until ClassCritical is left with too few.
	reserve float64
	// lower is the number in flight below ClassCritical.
	lower int
	// topWait is the longest queueing time of ClassCritical in this window
	// that ended while lower classes held slots.
	topWait time.Duration
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
	a.limiter.fixed = cfg.Stated
	a.SetSlots(0, cfg.Slots)
	return a
}

// Offer decides about a new request.
func (a *Admitter) Offer(now time.Duration, r Request) []Decision {
	a.limiter.start(now)
	r.Class = min(max(r.Class, 0), classifier.NumClasses-1)
	e := entry{Request: r, arrived: now, latest: a.latestStart(now, r), priority: Priority(r.Class, r.TreeID)}
	if e.expired(now, a.cfg.QueueTime) {
		return []Decision{Shed{r.ID, resolver.ReasonDeadlineExceeded}}
	}
	if a.cfg.Stated {
		a.planner.offer(r)
	}
	a.leveler.offered[e.priority]++
	// A free slot that nobody waits for is used whatever the level, so that a
	// level that has not yet fallen wastes no capacity.
	if a.queue.len == 0 && a.room(now, r.Class) {
		a.admit(now, e)
		return a.flush()
	}
	if a.cfg.Stated && a.startIn(now, e) > e.latest {
		return []Decision{Shed{r.ID, resolver.ReasonQueueFull}}
	}
	if e.priority < a.level() && (r.Depth == 0 || !a.cfg.Stated) {
		return []Decision{Shed{r.ID, resolver.ReasonLevelBelow}}
	}
	e.hold = a.planner.hold(r.Kind)
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

// latestStart is the time after which a request can't be answered in time any
// more, or 0 when it has no deadline. At least half of its time may be spent
// waiting: a kind that was slow once would otherwise be refused for good, since
// what is refused teaches nothing.
func (a *Admitter) latestStart(now time.Duration, r Request) time.Duration {
	if r.Deadline <= now || !a.cfg.Stated {
		return r.Deadline
	}
	return r.Deadline - min(a.planner.hold(r.Kind), (r.Deadline-now)/2)
}

// startIn estimates when a queued request would get a slot: the requests that go
// before it share the limit.
func (a *Admitter) startIn(now time.Duration, e entry) time.Duration {
	if e.latest <= 0 {
		return 0
	}
	ahead := time.Duration(0)
	for c := e.Class; c < classifier.NumClasses; c++ {
		ahead += a.queue.work[c]
	}
	return now + ahead/time.Duration(max(a.limiter.last, 1))
}

// level is the admission level in force.
func (a *Admitter) level() uint32 {
	if a.cfg.Stated {
		return a.planner.level
	}
	return a.leveler.level
}

// Release ends an admitted request. It ignores an unknown ID.
func (a *Admitter) Release(now time.Duration, id uint64, res Result) []Decision {
	run, ok := a.inFlight[id]
	if !ok {
		return nil
	}
	delete(a.inFlight, id)
	if run.class < classifier.ClassCritical {
		a.lower--
	}
	if a.cfg.Stated && !res.Refused && !res.Cancelled {
		a.planner.sample(run.name, res.Latency)
	}
	switch {
	case res.Refused:
		a.limiter.refused(now, run.inFlight)
	case res.Cancelled || res.Failed:
	default:
		a.limiter.sample(now, run.kind, res.Latency)
	}
	a.dispatch(now)
	return a.flush()
}

// Cancel removes a queued request whose caller went away and sheds it with
// ReasonCancelled. When the request is not queued, it has been decided before;
// if that was an Admit, it must still be released.
func (a *Admitter) Cancel(now time.Duration, id uint64) []Decision {
	if e, ok := a.queue.remove(id); ok {
		a.shed(now, e, resolver.ReasonCancelled)
	}
	return a.flush()
}

// Tick drops requests that waited too long and adjusts limit, level and
// reserve. It must be called every 10 ms; queueing time is bounded by QueueTime
// plus that interval.
func (a *Admitter) Tick(now time.Duration) []Decision {
	a.limiter.start(now)
	a.queue.observe(now, a.cfg.Target)
	for _, e := range a.queue.takeIf(func(e entry) bool { return e.expired(now, a.cfg.QueueTime) }) {
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
	if a.cfg.Stated {
		a.planner.endWindow(now, a.limiter.effective(now), a.queue.totalWork())
		return
	}
	limit := a.limiter.effective(now)
	a.limiter.endWindow(now, a.peak)
	if a.leveler.endWindow(now, &a.queue) {
		for _, e := range a.queue.takeIf(func(e entry) bool { return e.priority < a.leveler.level }) {
			a.shed(now, e, resolver.ReasonLevelBelow)
		}
	}
	// At half the queue time, a growing queue of the top class can still be
	// admitted before it times out.
	if a.topWait > a.cfg.QueueTime/2 {
		a.reserve = min(a.reserve+max(1, float64(limit)/10), float64(limit)/2)
	} else {
		// Halves in 3.4 s. Slow requests of lower classes hold slots for about
		// as long, so a faster decay lets them in before the next burst.
		a.reserve = max(0.98*a.reserve-0.01, 0)
	}
	a.peak = len(a.inFlight)
	a.topWait = 0
}

// SetSlots changes the upper bound of the limit when a new note is in force.
func (a *Admitter) SetSlots(now time.Duration, slots int) {
	a.cfg.Slots = max(slots, 1)
	limit := a.cfg.Slots
	if a.cfg.Stated {
		limit = max(int(a.cfg.LimitShare*float64(limit)), 1)
	}
	a.limiter.setSlots(now, limit)
}

// SetQueue changes the bounds of the queue when a new note is in force; 0 takes
// the default. Requests that wait already are held to the new bounds.
func (a *Admitter) SetQueue(queueTime time.Duration, length int) {
	a.cfg.QueueTime, a.cfg.QueueLength, a.cfg.Target = queueTime, length, 0
	a.cfg = a.cfg.withDefaults()
}

// Restart begins the ramp again, for a backend server that was restarted.
func (a *Admitter) Restart(now time.Duration) {
	a.limiter.restart(now)
}

// Load returns the state to be reported. The limit is that of the last call.
func (a *Admitter) Load() Load {
	return Load{
		InFlight: len(a.inFlight),
		Queued:   a.queue.len,
		Limit:    a.limiter.last,
		Level:    a.level(),
	}
}

func (a *Admitter) queueLength() int {
	if a.cfg.QueueLength > 0 {
		return a.cfg.QueueLength
	}
	return max(4*a.cfg.Slots, 64)
}

func (a *Admitter) room(now time.Duration, c classifier.Class) bool {
	n := a.limiter.effective(now)
	if c < classifier.ClassCritical {
		n -= int(a.reserve)
	}
	return len(a.inFlight) < n
}

// dispatch admits queued requests, the most important first, while there is
// room. Lower classes never have more room than higher ones, so it stops at
// the first class without room.
func (a *Admitter) dispatch(now time.Duration) {
	for a.queue.len > 0 && a.room(now, a.queue.bestClass()) {
		e := a.queue.popBest(now)
		if e.expired(now, a.cfg.QueueTime) {
			a.shedExpired(now, e)
			continue
		}
		a.admit(now, e)
	}
}

func (a *Admitter) admit(now time.Duration, e entry) {
	a.noteWait(now, e)
	a.inFlight[e.ID] = running{class: e.Class, kind: a.limiter.baseline(e.Kind), name: e.Kind, inFlight: len(a.inFlight) + 1}
	if e.Class < classifier.ClassCritical {
		a.lower++
	}
	a.peak = max(a.peak, len(a.inFlight))
	a.out = append(a.out, Admit{e.ID})
}

func (a *Admitter) shed(now time.Duration, e entry, reason resolver.Reason) {
	a.noteWait(now, e)
	a.out = append(a.out, Shed{e.ID, reason})
}

func (a *Admitter) shedExpired(now time.Duration, e entry) {
	reason := resolver.ReasonQueueTimeout
	if e.Deadline > 0 && now >= e.Deadline {
		reason = resolver.ReasonDeadlineExceeded
	}
	a.shed(now, e, reason)
}

func (a *Admitter) noteWait(now time.Duration, e entry) {
	if e.Class == classifier.ClassCritical && a.lower > 0 {
		a.topWait = max(a.topWait, now-e.arrived)
	}
}

// decided tells whether the current call has decided about the request.
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
