package rationer

import "time"

// Limit is a rate limit: a token bucket.
type Limit struct {
	// PerSecond is the number of tokens that come a second, above 0.
	PerSecond float64
	// Burst is the number of tokens that the bucket holds at the most, at least 0. A
	// bucket holds at least one token, or it would never give one out.
	Burst float64
}

// Share returns the part of the limit that each of n homes gives out.
func (l Limit) Share(n int) Limit {
	n = max(n, 1)
	return Limit{PerSecond: l.PerSecond / float64(n), Burst: l.Burst / float64(n)}
}

// bucket is the token bucket of one organisation.
type bucket struct {
	tokens float64
	// filledAt is the time up to which tokens have come. It lies in the future for a
	// bucket that is not open yet.
	filledAt time.Duration
}

// Issuer gives out the tokens of the organisations whose home this node is. It is not
// safe for concurrent use. Times must not decrease from call to call.
type Issuer struct {
	buckets map[string]*bucket
	// openAt is the time from which a new bucket gives out tokens. The home before may
	// have given out tokens until then.
	openAt time.Duration
}

// NewIssuer returns an issuer whose buckets are empty at openAt. After a restart the
// tokens that were given out before are not known, so that no bucket begins full.
func NewIssuer(openAt time.Duration) *Issuer {
	return &Issuer{buckets: make(map[string]*bucket), openAt: openAt}
}

// MoveHomes records that homes may have moved: buckets of organisations for which
// isHome is false are dropped, and new ones give out tokens from openAt on.
func (i *Issuer) MoveHomes(openAt time.Duration, isHome func(organisation string) bool) {
	i.openAt = openAt
	for name := range i.buckets {
		if !isHome(name) {
			delete(i.buckets, name)
		}
	}
}

// Issue gives out up to want tokens of an organisation. If it gives out none, wait is
// the time until there is one.
func (i *Issuer) Issue(now time.Duration, organisation string, l Limit, want int) (n int, wait time.Duration) {
	b, ok := i.buckets[organisation]
	if !ok {
		b = &bucket{filledAt: i.openAt}
		i.buckets[organisation] = b
	}
	if now > b.filledAt {
		b.tokens += l.PerSecond * (now - b.filledAt).Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, max(l.Burst, 1))
	n = min(want, int(b.tokens))
	if n > 0 {
		b.tokens -= float64(n)
		return n, 0
	}
	missing := time.Duration((1 - b.tokens) / l.PerSecond * float64(time.Second))
	return 0, max(b.filledAt-now, 0) + missing
}
