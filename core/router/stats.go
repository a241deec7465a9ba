package router

import (
	"cmp"
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one sample in the moving average of the
	// latency.
	latencyWeight = 1.0 / 32
	// failureWeight is the weight of one result in the moving average of the
	// failure ratio. refusalWeight is the fraction of a failure that a refusal
	// counts as: the attempt did not run, and the answer mostly carries a load
	// report as well.
	failureWeight = 1.0 / 16
	refusalWeight = 0.25
	// failurePenalty is multiplied by the failure ratio and added to 1, so the
	// score of an upstream that always fails is 21 times as high as otherwise.
	// A healthy one with a full limit and a full queue of 4 times the limit has
	// 14 times the score of an idle one, so it is still preferred.
	failurePenalty = 20
	// queueWeight is the weight of load above the limit. Such requests wait in
	// the queue, while those within the limit hardly slow each other down.
	queueWeight = 3
	// saturationLoad is the load above which an upstream nears saturation, and
	// saturationWeight the extra weight of load between it and the limit. Without
	// it a fast upstream fills up and refuses work before a slow one is half full.
	saturationLoad   = 0.7
	saturationWeight = 10
	// healthyFailures is the failure ratio below which an upstream counts as
	// healthy.
	healthyFailures = 0.05
	// baseLoad is added to the load, as a fraction of the limit. It keeps the
	// ratio of two scores near 1 while both upstreams are lightly loaded. With
	// 0.5, requests left the node's own domain at half of its capacity.
	baseLoad = 1
	// The time constants of the exponential decay of the statistics. Load
	// reports become stale quickly; the failure ratio and the latency decay so
	// that an avoided upstream is tried again.
	loadTimeConstant = time.Second
	// A rate limit often holds for many seconds, and one of hundreds of senders
	// hears of its load every few seconds only.
	rateLoadTimeConstant = 3 * time.Second
	failureTimeConstant  = 5 * time.Second
	latencyTimeConstant  = 30 * time.Second
	// rateLimitLifetime is how long a rate limit counts as known without a new
	// report.
	rateLimitLifetime = 10 * time.Second
	// assumedLimit is used for an upstream that has not reported a limit.
	assumedLimit = 32
	// minSlowStartWeight is the weight of an upstream at the start of its slow start.
	minSlowStartWeight = 0.1
)

// Load is the load that a node reported with an answer.
type Load struct {
	InFlight, Queued, Limit int
	// RateLimit is the rate limit of the backend server in requests a second, or 0
	// for none. RateLoad is the rate of arrivals there as a fraction of it.
	RateLimit, RateLoad float64
}

// Result is how an attempt ended.
type Result struct {
	Latency time.Duration
	// Failed is true when there was no answer or the backend server returned an
	// error.
	Failed bool
	// Refused is true when the upstream rejected the attempt without running it.
	Refused bool
	// RateLimited is true when the attempt was refused because of the rate limit
	// that the backend server states. The reported load says so already, so it
	// does not count as a failure.
	RateLimited bool
	// Load is the reported load; a Limit of 0 means that there was no report.
	Load Load
}

// decayingValue is a value that decays exponentially towards 0.
type decayingValue struct {
	value float64
	at    time.Duration
}

func (d decayingValue) get(now, timeConstant time.Duration) float64 {
	if d.value == 0 || now <= d.at {
		return d.value
	}
	return d.value * math.Exp(-float64(now-d.at)/float64(timeConstant))
}

// stats holds what this node has learned about one upstream.
type stats struct {
	Upstream
	// rank is the rendezvous hash of the node and the upstream.
	rank uint64
	// slowStartBegan is when the slow start began.
	slowStartBegan time.Duration
	// leavingUntil is the time until which no new work is sent.
	leavingUntil time.Duration
	// departing is true for a run that has stated that it leaves. It gets no work
	// again.
	departing bool
	// Until unreachableUntil the upstream is used only when there is no other
	// one. connectFailures is the number of consecutive failed connections.
	unreachableUntil time.Duration
	connectFailures  int

	inFlight int // Attempts sent by this node.
	// externalLoad is the reported load caused by other nodes, in requests.
	externalLoad decayingValue
	limit        float64 // Reported limit, or 0.
	// rateLimit is the reported rate limit of the backend server in requests a
	// second, or 0 for none. rateLoad is the reported rate of arrivals as a
	// fraction of it.
	rateLimit decayingValue
	rateLoad  decayingValue
	// latency is the moving average in seconds over successful attempts only,
	// since failures are often faster; 0 before the first success.
	latency decayingValue
	// failures is the recent ratio of failed attempts, 0 to 1.
	failures decayingValue
}

func (s *stats) leaving(now time.Duration) bool {
	return now < s.leavingUntil
}

// connectable reports whether the connection backoff is over.
func (s *stats) connectable(now time.Duration) bool { return now >= s.unreachableUntil }

const (
	// An upstream is avoided for minConnectBackoff after a failed connection, and
	// for twice as long after each further failure, up to maxConnectBackoff.
	minConnectBackoff = 250 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
)

func (s *stats) markUnreachable(now time.Duration) {
	if now < s.unreachableUntil {
		return // Several requests can fail with the same connection attempt.
	}
	s.unreachableUntil = now + min(minConnectBackoff<<min(s.connectFailures, 8), maxConnectBackoff)
	s.connectFailures++
}

// score estimates the cost of a request at the upstream; lower is better.
// meanLatency stands for the latency of an upstream that has not answered yet.
// It is 0 if no upstream has answered; then all latencies are equal and any
// positive value will do.
func (s *stats) score(now time.Duration, meanLatency float64) float64 {
	latency := cmp.Or(meanLatency, 1)
	if s.latency.value > 0 {
		latency = s.latency.get(now, latencyTimeConstant)
	}
	load := s.load(now)
	load += saturationWeight*min(max(load-saturationLoad, 0), 1-saturationLoad) + (queueWeight-1)*max(load-1, 0)
	return latency * (baseLoad + load) * (1 + failurePenalty*s.failures.get(now, failureTimeConstant))
}

// load returns the requests at the upstream as a fraction of its limit, or the
// rate of arrivals as a fraction of the rate limit of the backend server if that
// is more.
func (s *stats) load(now time.Duration) float64 {
	slots := (float64(s.inFlight) + s.externalLoad.get(now, loadTimeConstant)) / cmp.Or(s.limit, assumedLimit)
	return max(slots, s.rateLoad.get(now, rateLoadTimeConstant))
}

// weight is the fraction of its normal traffic that the upstream gets during its
// slow start, and 1 afterwards.
func (s *stats) weight(now, slowStart time.Duration) float64 {
	return min(max(float64(now-s.slowStartBegan)/float64(slowStart), minSlowStartWeight), 1)
}

func (s *stats) finish(now time.Duration, res Result) {
	s.inFlight = max(s.inFlight-1, 0)
	if !res.Failed {
		s.connectFailures, s.unreachableUntil = 0, 0
	}
	if res.Load.Limit > 0 {
		s.limit = float64(res.Load.Limit)
		s.rateLimit, s.rateLoad = decayingValue{res.Load.RateLimit, now}, decayingValue{res.Load.RateLoad, now}
		s.externalLoad = decayingValue{float64(max(res.Load.InFlight+res.Load.Queued-s.inFlight, 0)), now}
	}
	if res.RateLimited {
		return
	}
	failed := 0.0
	switch {
	case res.Failed:
		failed = 1
	case res.Refused:
		failed = refusalWeight
	default:
		s.latency = decayingValue{ewma(s.latency.value, res.Latency.Seconds()), now}
	}
	before := s.failures.get(now, failureTimeConstant)
	s.failures = decayingValue{before + failureWeight*(failed-before), now}
}

// ewma adds a sample to a moving average of the latency. The average is 0 before
// the first sample.
func ewma(average, sample float64) float64 {
	sample = max(sample, time.Microsecond.Seconds())
	if average == 0 {
		return sample
	}
	return average + latencyWeight*(sample-average)
}
