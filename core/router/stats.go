package router

import (
	"cmp"
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one sample in the mean latency.
	latencyWeight = 1.0 / 32
	// failureWeight is the weight of one result in the share of failures, and
	// refusedShare the part of a failure that a refusal counts as. A refusal is
	// a safe answer of an upstream that mostly reports its load as well.
	failureWeight = 1.0 / 16
	refusedShare  = 0.25
	// failureFactor makes an upstream that always fails cost 21 times as much.
	// A healthy one with a full limit and a full queue of 4 times the limit
	// costs 14 times as much as an idle one, so it is still preferred.
	failureFactor = 20
	// queueFactor is what load above the limit counts as. Such requests wait,
	// while those within the limit hardly disturb each other.
	queueFactor = 3
	// busyLoad is the load from which an upstream is about to have no room, and
	// busyFactor what each further part of its limit costs. Without it a fast
	// upstream fills up, and work is refused, before a slow one is half full.
	busyLoad   = 0.7
	busyFactor = 10
	// idleLoad is added to the load, as a share of the limit. It keeps the
	// relation of two scores near 1 while both upstreams have little to do.
	// With 0.5, work left the own domain at half of its capacity.
	idleLoad = 1
	// What was learned fades with these time constants: load reports because
	// they are outdated soon, the other two so that an upstream that is avoided
	// is tried again.
	reportTime  = time.Second
	failureTime = 5 * time.Second
	latencyTime = 30 * time.Second
	// assumedLimit stands for the limit of an upstream that has not reported one.
	assumedLimit = 32
	// minRamp is the weight of an upstream at the start of its slow start.
	minRamp = 0.1
)

// Load is the load that a node reported with an answer.
type Load struct {
	InFlight, Queued, Limit int
}

// Result is how an attempt ended.
type Result struct {
	Latency time.Duration
	// Failed: no answer, or an error of the backend server.
	Failed bool
	// Refused: the upstream rejected the attempt without running it.
	Refused bool
	// Load is the reported load; a Limit of 0 means that there is no report.
	Load Load
}

// fading is a value that decays exponentially towards 0.
type fading struct {
	value float64
	at    time.Duration
}

func (f fading) get(now, constant time.Duration) float64 {
	if f.value == 0 || now <= f.at {
		return f.value
	}
	return f.value * math.Exp(-float64(now-f.at)/float64(constant))
}

// stats is what the node knows about one upstream.
type stats struct {
	Upstream
	// rank is the rendezvous hash of the node and the upstream.
	rank uint64
	// rampFrom is when the slow start began.
	rampFrom time.Duration
	// No work is sent before leavingUntil.
	leavingUntil time.Duration
	// The upstream is only used before unreachableUntil when there is no other
	// one. unreachable counts the failed connections in a row.
	unreachableUntil time.Duration
	unreachable      int

	inFlight int // Attempts of this node.
	// others is the reported load that other nodes cause.
	others fading
	limit  float64 // Reported limit, or 0.
	// latency is the mean in seconds over successful attempts only, since
	// failures are often faster than the work; 0 before the first one.
	latency fading
	// failures is the recent share of failed attempts, 0 to 1.
	failures fading
}

func (s *stats) leaving(now time.Duration) bool {
	return now < s.leavingUntil
}

// usable tells whether a connection may be tried.
func (s *stats) usable(now time.Duration) bool { return now >= s.unreachableUntil }

const (
	// An upstream that can't be connected to is left alone for minAvoid, twice
	// as long after each further failure, up to maxAvoid.
	minAvoid = 250 * time.Millisecond
	maxAvoid = 2 * time.Second
)

func (s *stats) markUnreachable(now time.Duration) {
	if now < s.unreachableUntil {
		return // Several requests waited for the same connection.
	}
	s.unreachableUntil = now + min(minAvoid<<min(s.unreachable, 8), maxAvoid)
	s.unreachable++
}

// score estimates what a request costs at the upstream. typical is the latency
// of an upstream that has not answered yet, or 0 if none has; the unit of the
// latency doesn't matter then.
func (s *stats) score(now time.Duration, typical float64) float64 {
	latency := cmp.Or(typical, 1)
	if s.latency.value > 0 {
		latency = s.latency.get(now, latencyTime)
	}
	limit := cmp.Or(s.limit, assumedLimit)
	load := (float64(s.inFlight) + s.others.get(now, reportTime)) / limit
	load += busyFactor*min(max(load-busyLoad, 0), 1-busyLoad) + (queueFactor-1)*max(load-1, 0)
	return latency * (idleLoad + load) * (1 + failureFactor*s.failures.get(now, failureTime))
}

// weight is the share of its normal traffic that the upstream gets during its
// slow start, and 1 later.
func (s *stats) weight(now, slowStart time.Duration) float64 {
	return min(max(float64(now-s.rampFrom)/float64(slowStart), minRamp), 1)
}

func (s *stats) finish(now time.Duration, res Result) {
	s.inFlight = max(s.inFlight-1, 0)
	if !res.Failed {
		s.unreachable, s.unreachableUntil = 0, 0
	}
	if res.Load.Limit > 0 {
		s.limit = float64(res.Load.Limit)
		s.others = fading{float64(max(res.Load.InFlight+res.Load.Queued-s.inFlight, 0)), now}
	}
	failed := 0.0
	switch {
	case res.Failed:
		failed = 1
	case res.Refused:
		failed = refusedShare
	default:
		s.latency = fading{mean(s.latency.value, res.Latency.Seconds()), now}
	}
	before := s.failures.get(now, failureTime)
	s.failures = fading{before + failureWeight*(failed-before), now}
}

// mean adds a sample to a mean latency that is 0 before the first sample.
func mean(before, sample float64) float64 {
	sample = max(sample, time.Microsecond.Seconds())
	if before == 0 {
		return sample
	}
	return before + latencyWeight*(sample-before)
}
