package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/resolver"
)

// Pick chooses an upstream whose address is not excluded. It chooses a leaving
// upstream only as a last resort; see Config.LastResort. draw is a random number.
func (r *Router) Pick(now time.Duration, name string, exclude []string, draw uint64) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok {
		return None{resolver.ReasonNoUpstream}
	}
	if s.rebuildAt > 0 && now >= s.rebuildAt {
		r.rebuild(now, s)
	}
	exclude = excludeUnreachable(now, s, exclude)
	local, localScore := r.chooseOfTwo(now, s, s.local, exclude, draw)
	remote, remoteScore := r.chooseOfTwo(now, s, s.remote, exclude, draw)
	switch {
	case local == nil && remote == nil:
		return r.pickLeaving(now, s, exclude, draw)
	case local == nil:
		return Chosen{remote.Upstream, WhyNoLocal, remoteScore}
	case remote != nil && r.crosses(now, s, exclude, remoteScore, draw):
		return Chosen{remote.Upstream, WhySpill, remoteScore}
	default:
		return Chosen{local.Upstream, WhyLocal, localScore}
	}
}

// crosses reports whether a request leaves the domain.
func (r *Router) crosses(now time.Duration, s *service, exclude []string, remoteScore float64, draw uint64) bool {
	if r.cfg.CrossDomainCost > 0 {
		return r.leaves(now, s, exclude, draw)
	}
	return r.spills(now, s, exclude, remoteScore)
}

// pickLeaving chooses among the leaving upstreams if Config.LastResort allows it.
func (r *Router) pickLeaving(now time.Duration, s *service, exclude []string, draw uint64) Decision {
	if !r.cfg.LastResort {
		return None{resolver.ReasonNoUpstream}
	}
	st, score := r.chooseOfTwo(now, s, s.leaving, exclude, draw)
	if st == nil {
		return None{resolver.ReasonNoUpstream}
	}
	return Chosen{st.Upstream, WhyLastResort, score}
}

// excludeUnreachable adds the upstreams in connection backoff to the excluded
// ones, unless no candidate would be left.
func excludeUnreachable(now time.Duration, s *service, exclude []string) []string {
	all := slices.Clip(exclude)
	left := 0
	for _, st := range slices.Concat(s.local, s.remote) {
		switch {
		case slices.Contains(exclude, st.Address):
		case st.connectable(now):
			left++
		default:
			all = append(all, st.Address)
		}
	}
	if left == 0 {
		return exclude
	}
	return all
}

// chooseOfTwo returns the candidate with the lower score out of two different
// random ones (power of two choices), or nil if there is none. If that candidate
// has the lower slow start weight, it is kept only with the probability of its
// weight.
func (r *Router) chooseOfTwo(now time.Duration, s *service, candidates []*stats, exclude []string, draw uint64) (*stats, float64) {
	allowed := len(candidates)
	for _, st := range candidates {
		if slices.Contains(exclude, st.Address) {
			allowed--
		}
	}
	if allowed == 0 {
		return nil, 0
	}
	i := int(uint32(draw)) % allowed
	chosen := nth(candidates, exclude, i)
	score := chosen.score(now, s.meanLatency)
	if allowed == 1 {
		return chosen, score
	}
	other := nth(candidates, exclude, (i+1+int(uint32(draw>>32))%(allowed-1))%allowed)
	otherScore := other.score(now, s.meanLatency)
	if otherScore < score {
		chosen, other, score, otherScore = other, chosen, otherScore, score
	}
	if w := chosen.weight(now, r.cfg.SlowStart); w < 1 && w < other.weight(now, r.cfg.SlowStart) && fraction(draw) >= w {
		return other, otherScore
	}
	return chosen, score
}

// fraction returns a number in [0, 1) that is nearly independent of the bits of
// draw that select the candidates. The multiplier is that of Fibonacci hashing.
func fraction(draw uint64) float64 {
	return float64(draw*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

// nth returns the i-th candidate that isn't excluded.
func nth(candidates []*stats, exclude []string, i int) *stats {
	for _, st := range candidates {
		if slices.Contains(exclude, st.Address) {
			continue
		}
		if i == 0 {
			return st
		}
		i--
	}
	return nil
}

// spills reports whether a request leaves the node's own domain for an upstream
// with remoteScore. At least one local upstream must not be excluded.
func (r *Router) spills(now time.Duration, s *service, exclude []string, remoteScore float64) bool {
	var best *stats
	lowest := 0.0
	for _, st := range s.local {
		if slices.Contains(exclude, st.Address) {
			continue
		}
		if score := st.score(now, s.meanLatency); best == nil || score < lowest {
			best, lowest = st, score
		}
	}
	factor := r.cfg.SpillFactor
	if best.load(now) < saturationLoad && best.failures.get(now, failureTimeConstant) < healthyFailures {
		factor = r.cfg.IdleSpillFactor
	}
	return lowest > factor*remoteScore
}

// Home returns the upstream that owns a key. All nodes with the same list must
// choose the same one, so the choice does not depend on the node, on load or on
// whether an upstream is leaving: a leaving home still has the answers for its
// keys.
func (r *Router) Home(name, key string) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok || len(s.byAddress) == 0 {
		return None{resolver.ReasonNoUpstream}
	}
	home := highestRank(s, key, func(*stats) bool { return true })
	return Chosen{Upstream: home.Upstream, Why: WhyHome}
}

// PickTrial returns the upstream that runs a request on probation: the first in an
// order that depends on the key alone, of those that are usable and not excluded.
// Nodes with the same list choose the same one as long as it can be used.
func (r *Router) PickTrial(now time.Duration, name, key string, exclude []string) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok {
		return None{resolver.ReasonNoUpstream}
	}
	chosen := highestRank(s, key, func(st *stats) bool {
		return !st.departing && !st.leaving(now) && st.connectable(now) && !slices.Contains(exclude, st.Address)
	})
	if chosen == nil {
		return None{resolver.ReasonNoUpstream}
	}
	return Chosen{Upstream: chosen.Upstream, Why: WhyTrial}
}

// highestRank returns the usable upstream with the highest rendezvous hash for a
// key, or nil.
func highestRank(s *service, key string, usable func(*stats) bool) *stats {
	seed := xxhash.Sum64String(key)
	var best *stats
	var highest uint64
	for _, st := range s.byAddress {
		if !usable(st) {
			continue
		}
		h := rank(seed, st.Address)
		if best == nil || h > highest || h == highest && st.Address < best.Address {
			best, highest = st, h
		}
	}
	return best
}

// HasAlternative reports whether Pick could choose another upstream than the one with
// the address and the excluded ones.
func (r *Router) HasAlternative(now time.Duration, name, address string, exclude []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok {
		return false
	}
	for _, st := range slices.Concat(s.local, s.remote) {
		if st.Address != address && st.connectable(now) && !slices.Contains(exclude, st.Address) {
			return true
		}
	}
	return false
}
