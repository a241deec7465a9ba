package recorder

import (
	"time"

	"golang.org/x/time/rate"

	"crocustack/core/resolver"
)

const (
	// failureLinesPerSecond and successLinesPerSecond bound the decision lines.
	// A failed request produces a few lines on each of two or three nodes;
	// successes are only sampled.
	failureLinesPerSecond = 400
	successLinesPerSecond = 60
	// burstSeconds is the burst of both limits, in seconds of their rate.
	burstSeconds = 2
	// summaryInterval is the minimum time between two summary lines.
	summaryInterval = time.Second
)

// sampler decides which decisions are logged. It is not safe for concurrent use.
type sampler struct {
	failures, successes *rate.Limiter
	// leftOutFailures and leftOutSuccesses count the decisions that have not
	// been logged since the last summary.
	leftOutFailures, leftOutSuccesses int64
	// nextSummary is the earliest time of the next summary line.
	nextSummary time.Time
}

func newSampler() *sampler {
	return &sampler{
		failures:  rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond*burstSeconds),
		successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond*burstSeconds),
	}
}

// sample reports whether a decision is logged, and counts it if it is not.
func (s *sampler) sample(d *Decision) bool {
	if d.failed() {
		if s.failures.AllowN(d.Time, 1) {
			return true
		}
		s.leftOutFailures++
		return false
	}
	if s.successes.AllowN(d.Time, 1) {
		return true
	}
	s.leftOutSuccesses++
	return false
}

// summary returns the numbers of decisions left out since the last summary and
// resets them. ok is false if there are none or if the last summary was less
// than summaryInterval ago.
func (s *sampler) summary(now time.Time) (failures, successes int64, ok bool) {
	if s.leftOutFailures+s.leftOutSuccesses == 0 || now.Before(s.nextSummary) {
		return 0, 0, false
	}
	failures, successes = s.leftOutFailures, s.leftOutSuccesses
	s.leftOutFailures, s.leftOutSuccesses = 0, 0
	s.nextSummary = now.Add(summaryInterval)
	return failures, successes, true
}

// failed reports whether the cause of a decision may be of interest to an
// operator. That is every decision except those of requests that proceed or
// succeeded.
func (d *Decision) failed() bool {
	switch o := d.Outcome.(type) {
	case resolver.NotRun, resolver.Unknown:
		return true
	case resolver.Ran:
		return o.Status >= 500
	case nil:
	}
	switch d.Kind {
	case KindRoute, KindAdmit:
		return d.Reason != resolver.ReasonNone
	case KindAnswer, KindCall:
		return false
	default:
		return true
	}
}
