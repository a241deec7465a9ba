package dispatcher

import (
	"time"

	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
)

const (
	// minRetryAfter is the shortest wait that a refused client is asked for: a
	// place that was taken now is seldom free sooner.
	minRetryAfter = 100 * time.Millisecond
	// A refused client is asked to come back within retryShare of the time that
	// is left, and within retryObjectiveShare of its objective when it has one,
	// so that the second attempt can still be in time.
	retryShare          = 0.3
	retryObjectiveShare = 0.5
	// unreadyRetryAfter is asked for while no configuration is in force, or while
	// the process is about to be started again.
	unreadyRetryAfter = 500 * time.Millisecond
)

// retryAfter is when a refused client should come back, or 0 when that doesn't
// help. draw is a random number in [0, 1) that spreads the clients.
func retryAfter(q forwarder.Request, reason resolver.Reason, now time.Time, draw float64) time.Duration {
	switch reason {
	case resolver.ReasonUnknownKind, resolver.ReasonBadRequest, resolver.ReasonBodyTooLarge, resolver.ReasonDeadlineExceeded:
		return 0
	case resolver.ReasonNotReady, resolver.ReasonDraining:
		return unreadyRetryAfter/2 + time.Duration(draw*float64(unreadyRetryAfter))
	default:
	}
	longest := time.Duration(retryShare * float64(q.Deadline.Sub(now)))
	if q.Objective > 0 {
		longest = min(longest, time.Duration(retryObjectiveShare*float64(q.Objective)))
	}
	longest = max(longest, minRetryAfter)
	return minRetryAfter + time.Duration(draw*float64(longest-minRetryAfter))
}
