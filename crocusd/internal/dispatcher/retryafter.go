package dispatcher

import (
	"time"

	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
)

const (
	// minRetryAfter is the shortest delay that a refused client is asked for: a
	// slot that is taken now is rarely free any sooner.
	minRetryAfter = 100 * time.Millisecond
	// A refused client is asked to retry within retryAfterShare of the remaining
	// time, and within retryObjectiveShare of the objective when the route has
	// one, so that the second attempt can still succeed in time.
	retryAfterShare          = 0.3
	retryAfterObjectiveShare = 0.5
	// unreadyRetryAfter is the mean delay while no configuration is active or
	// while the process is about to be restarted.
	unreadyRetryAfter = 500 * time.Millisecond
)

// retryAfter returns the delay after which a refused client should retry, or 0
// when a retry is pointless. draw is a random number in [0, 1) that adds
// jitter.
func retryAfter(q forwarder.Request, reason resolver.Reason, now time.Time, draw float64) time.Duration {
	switch reason {
	case resolver.ReasonUnknownKind, resolver.ReasonBadRequest, resolver.ReasonBodyTooLarge, resolver.ReasonDeadlineExceeded,
		resolver.ReasonQuarantined, resolver.ReasonUnknownKey:
		return 0
	case resolver.ReasonNotReady, resolver.ReasonDraining, resolver.ReasonKeysUnproven:
		return unreadyRetryAfter/2 + time.Duration(draw*float64(unreadyRetryAfter))
	default:
	}
	longest := time.Duration(retryAfterShare * float64(q.Deadline.Sub(now)))
	if q.Objective > 0 {
		longest = min(longest, time.Duration(retryAfterObjectiveShare*float64(q.Objective)))
	}
	longest = max(longest, minRetryAfter)
	return minRetryAfter + time.Duration(draw*float64(longest-minRetryAfter))
}
