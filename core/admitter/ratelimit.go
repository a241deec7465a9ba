package admitter

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateBurstTime is the time for which unused requests of a rate limit are
	// saved up.
	rateBurstTime = 500 * time.Millisecond
	// minRate is the lowest rate limit that is applied, in requests a second. The
	// answer to a request is the only way to learn that a limit was lifted.
	minRate = 0.5
	// rateLoadTimeConstant is the time constant with which the arrivals are
	// averaged. An upstream of a large fleet gets only a few requests a second.
	rateLoadTimeConstant = time.Second
)

// epoch is the time to which the package's durations are added where a library
// needs a point in time.
var epoch = time.Unix(0, 0)

// rateLimit bounds the requests a second that pass to a backend server while the
// server states such a limit, as a token bucket.
type rateLimit struct {
	// bucket is nil while there is no limit.
	bucket *rate.Limiter
	// perSecond is the limit in force, at least minRate; 0 for none.
	perSecond float64
	// statedAt is when the backend server stated a limit last.
	statedAt time.Duration
	// observed is true once an answer of the backend server was observed.
	observed bool
	// arrived counts the requests since lastUpdate, those refused included.
	// arrivals is its mean rate a second.
	arrived    int
	arrivals   float64
	lastUpdate time.Duration
}

// observe applies what the answer to a request that was sent at the given time
// states: a limit in requests a second, or none. Answers can overtake each other,
// so that only the answer to a request that was sent after the last statement
// lifts the limit.
func (l *rateLimit) observe(now, sent time.Duration, limited bool, perSecond float64) {
	l.observed = true
	switch {
	case limited:
		l.statedAt = now
		l.set(now, perSecond)
	case sent > l.statedAt:
		l.bucket, l.perSecond = nil, 0
	}
}

// assume applies a limit that a peer has heard of, until the backend server
// itself has answered. A node that restarts doesn't know the limit.
func (l *rateLimit) assume(now time.Duration, perSecond float64) {
	if !l.observed && perSecond > 0 && l.bucket == nil {
		l.set(now, perSecond)
	}
}

func (l *rateLimit) set(now time.Duration, perSecond float64) {
	perSecond = max(perSecond, minRate)
	burst := 1 + int(perSecond*rateBurstTime.Seconds())
	switch {
	case l.bucket == nil:
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(epoch.Add(now), burst-1) // It starts with one request.
	case perSecond != l.perSecond:
		l.bucket.SetLimitAt(epoch.Add(now), rate.Limit(perSecond))
		l.bucket.SetBurstAt(epoch.Add(now), burst)
	}
	l.perSecond = perSecond
}

// limited reports whether a limit is in force.
func (l *rateLimit) limited() bool { return l.bucket != nil }

// available returns the number of requests that may pass now. It must only be
// called while a limit is in force.
func (l *rateLimit) available(now time.Duration) float64 { return l.bucket.TokensAt(epoch.Add(now)) }

// allows reports whether n more requests may pass now.
func (l *rateLimit) allows(now time.Duration, n int) bool {
	return !l.limited() || l.available(now) >= float64(n)
}

// take counts one request that passes and reports whether it was allowed to.
func (l *rateLimit) take(now time.Duration) bool {
	return !l.limited() || l.bucket.AllowN(epoch.Add(now), 1)
}

// delay returns how long it takes until n requests have passed.
func (l *rateLimit) delay(n int) time.Duration {
	if !l.limited() {
		return 0
	}
	return time.Duration(float64(n) / l.perSecond * float64(time.Second))
}

// endWindow updates the mean rate of arrivals.
func (l *rateLimit) endWindow(now time.Duration) {
	elapsed := now - l.lastUpdate
	l.lastUpdate = now
	if elapsed <= 0 {
		return
	}
	l.arrivals += ewmaWeight(elapsed, rateLoadTimeConstant) * (float64(l.arrived)/elapsed.Seconds() - l.arrivals)
	l.arrived = 0
}

// load returns the arrivals as a fraction of the limit, and 0 without a limit.
func (l *rateLimit) load() float64 {
	if !l.limited() {
		return 0
	}
	return l.arrivals / l.perSecond
}
