package recorder

import (
	"time"

	"golang.org/x/time/rate"

	"crocustack/core/resolver"
)

const (
	// failureLines and successLines bound the decision lines per second. A
	// failed request produces a few lines on each of two or three nodes;
	// successes are only sampled.
	failureLines = 400
	successLines = 60
	// lineBurst is the burst of the line limits, in seconds of their rate.
	lineBurst = 2
	// summaryInterval is the minimum time between two summary lines.
	summaryInterval = time.Second
)

// sieve decides which decisions are logged. It is not safe for concurrent use.
type sieve struct {
	failures, successes *rate.Limiter
	// leftOutFailures and leftOutSuccesses count the decisions that have not
	// been logged since the last summary.
	leftOutFailures, leftOutSuccesses int64
	summaryAt                         time.Time
}

func newSieve() *sieve {
	return &sieve{
		failures:  rate.NewLimiter(failureLines, failureLines*lineBurst),
		successes: rate.NewLimiter(successLines, successLines*lineBurst),
	}
}

// keep reports whether a decision is logged, and counts it if it is not.
func (s *sieve) keep(d *Decision) bool {
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
func (s *sieve) summary(now time.Time) (failures, successes int64, ok bool) {
	if s.leftOutFailures+s.leftOutSuccesses == 0 || now.Before(s.summaryAt) {
		return 0, 0, false
	}
	failures, successes = s.leftOutFailures, s.leftOutSuccesses
	s.leftOutFailures, s.leftOutSuccesses = 0, 0
	s.summaryAt = now.Add(summaryInterval)
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
