package recorder

import (
	"time"

	"golang.org/x/time/rate"

	"crocustack/core/resolver"
)

const (
	// failureLines and successLines bound the decision lines a second. A failed
	// request has a few lines on two or three nodes; what went well is a sample.
	failureLines = 400
	successLines = 60
	// lineBurst is how many seconds of lines may come at once.
	lineBurst = 2
	// summaryInterval is the time between two lines that say what was left out.
	summaryInterval = time.Second
)

// sieve decides which decisions are logged. It is not safe for concurrent use.
type sieve struct {
	failures, successes *rate.Limiter
	// leftOut counts the decisions that were not logged since the last summary.
	leftOutFailures, leftOutSuccesses int64
	summaryAt                         time.Time
}

func newSieve() *sieve {
	return &sieve{
		failures:  rate.NewLimiter(failureLines, failureLines*lineBurst),
		successes: rate.NewLimiter(successLines, successLines*lineBurst),
	}
}

// keep tells whether a decision is logged.
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

// summary returns what was left out, once in an interval.
func (s *sieve) summary(now time.Time) (failures, successes int64, ok bool) {
	if s.leftOutFailures+s.leftOutSuccesses == 0 || now.Before(s.summaryAt) {
		return 0, 0, false
	}
	failures, successes = s.leftOutFailures, s.leftOutSuccesses
	s.leftOutFailures, s.leftOutSuccesses = 0, 0
	s.summaryAt = now.Add(summaryInterval)
	return failures, successes, true
}

// failed tells whether somebody may ask for the cause of a decision: everything
// but a request that goes on or went well.
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
