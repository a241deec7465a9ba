package rationer

import (
	"math"
	"time"
)

const (
	// prefetchTime is the time for which an entry node asks for tokens ahead of its
	// requests. It spares a busy organisation most of the exchanges with the home.
	prefetchTime = 50 * time.Millisecond
	// demandTimeConstant is the time constant with which the demand is averaged.
	demandTimeConstant = 500 * time.Millisecond
	// minPause and maxPause bound how long a home that has no tokens is not asked again.
	minPause = 20 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// unreachablePause is how long a home that did not answer is not asked again.
	unreachablePause = 200 * time.Millisecond
)

// Config holds the figures that follow from the agreed bounds.
type Config struct {
	// TokenLifetime is how long a token may be used after it was asked for. In any
	// window, the tokens of so long before it count too.
	TokenLifetime time.Duration
	// FallbackShare is the fraction of a limit that all entry nodes together may use
	// without tokens while they can't reach a home.
	FallbackShare float64
}

// ConfigFor returns the figures for an agreed window and the fraction by which it may be
// exceeded: a fifth of that for the lifetime of tokens, two fifths for the fallback, the
// rest for homes that move.
func ConfigFor(window time.Duration, overage float64) Config {
	return Config{TokenLifetime: time.Duration(0.2 * overage * float64(window)), FallbackShare: 0.4 * overage}
}

// lot holds tokens that expire at the same time.
type lot struct {
	n         int
	expiresAt time.Duration
}

// homeState is what an entry node knows of a home.
type homeState struct {
	// askAgainAt is the time before which the home is not asked.
	askAgainAt  time.Duration
	unreachable bool
}

// Stock holds the tokens of one organisation at one entry node. It is not safe for
// concurrent use. Times must not decrease from call to call.
type Stock struct {
	cfg  Config
	lots []lot
	// demand is the mean number of requests a second, as of countedAt.
	demand    float64
	countedAt time.Duration
	homes     map[string]homeState
	// fallback holds the tokens of this node's share of the fallback, as of
	// fallbackFilledAt, which is 0 while homes are reachable.
	fallback         float64
	fallbackFilledAt time.Duration
}

// NewStock returns a stock without tokens.
func NewStock(cfg Config) *Stock { return &Stock{cfg: cfg, homes: make(map[string]homeState)} }

// Decision is what to do with a request: Taken, Ask or Limited.
//
//sumtype:decl
type Decision interface{ decision() }

// Taken means that the request has its token.
type Taken struct{}

// Ask means that the home of a domain has to be asked for tokens, and the request
// offered again afterwards.
type Ask struct {
	Domain string
	Want   int
}

// Limited means that the organisation has reached its limit. Wait is the time until a
// home may have a token again.
type Limited struct{ Wait time.Duration }

func (Taken) decision()   {}
func (Ask) decision()     {}
func (Limited) decision() {}

// Count counts a request towards the demand.
func (s *Stock) Count(now time.Duration) {
	if elapsed := now - s.countedAt; elapsed > 0 {
		s.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	}
	s.demand += 1 / demandTimeConstant.Seconds()
	s.countedAt = now
}

// Take decides on a request. domains holds the domains that have a home, the node's own
// first; entries is the number of entry nodes; l is the limit over all of them.
func (s *Stock) Take(now time.Duration, l Limit, domains []string, entries int) Decision {
	if s.takeToken(now) {
		return Taken{}
	}
	soonest, unreachable := time.Duration(math.MaxInt64), len(domains) == 0
	for _, d := range domains {
		h := s.homes[d]
		if now >= h.askAgainAt {
			return Ask{Domain: d, Want: 1 + int(s.demand*prefetchTime.Seconds())}
		}
		soonest = min(soonest, h.askAgainAt-now)
		unreachable = unreachable || h.unreachable
	}
	if s.takeFallback(now, l, unreachable, entries) {
		return Taken{}
	}
	return Limited{Wait: min(soonest, maxPause)}
}

// takeToken takes the token that expires first.
func (s *Stock) takeToken(now time.Duration) bool {
	for len(s.lots) > 0 {
		first := &s.lots[0]
		if first.n > 0 && now < first.expiresAt {
			first.n--
			return true
		}
		s.lots = s.lots[1:]
	}
	return false
}

// takeFallback takes a token from this node's share of what all nodes may use while
// they can't reach a home. It begins empty each time.
func (s *Stock) takeFallback(now time.Duration, l Limit, unreachable bool, entries int) bool {
	if !unreachable {
		s.fallback, s.fallbackFilledAt = 0, 0
		return false
	}
	if s.fallbackFilledAt == 0 {
		s.fallbackFilledAt = now
	}
	perSecond := s.cfg.FallbackShare * l.PerSecond / float64(max(entries, 1))
	s.fallback = min(s.fallback+perSecond*(now-s.fallbackFilledAt).Seconds(), max(perSecond, 1))
	s.fallbackFilledAt = now
	if s.fallback < 1 {
		return false
	}
	s.fallback--
	return true
}

// Receive adds n tokens that the home of a domain gave out for a request sent to it at
// asked. If n is 0, wait is the time until it has one.
func (s *Stock) Receive(now, asked time.Duration, domain string, n int, wait time.Duration) {
	if n == 0 {
		s.homes[domain] = homeState{askAgainAt: now + min(max(wait, minPause), maxPause)}
		return
	}
	s.homes[domain] = homeState{}
	s.lots = append(s.lots, lot{n, asked + s.cfg.TokenLifetime})
}

// Fail records that the home of a domain did not answer or is not the home any more.
func (s *Stock) Fail(now time.Duration, domain string) {
	s.homes[domain] = homeState{askAgainAt: now + unreachablePause, unreachable: true}
}

// Idle reports whether the stock may be forgotten: it holds nothing of use.
func (s *Stock) Idle(now time.Duration) bool { return now-s.countedAt > idleAfter }

// idleAfter is the time without a request after which a stock may be forgotten.
const idleAfter = time.Minute
