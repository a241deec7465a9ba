package router

import (
	"math"
	"slices"
	"time"
)

const (
	// shareInterval is the time between two adjustments of the share that leaves the
	// domain. Load reports come with answers, which take a fraction of a second.
	shareInterval = 50 * time.Millisecond
	// shareGain is the change of the share a second if the own domain costs twice what
	// another one does, crossing included.
	shareGain = 1.0
	// fullLoad is the load of an upstream from which another domain counts as full, and
	// shareRelief the change of the share a second then.
	fullLoad    = 0.95
	shareRelief = -2.0
)

// outbound is the share of the requests for one service that leaves the node's domain.
type outbound struct {
	// share is between 0 and 1. It grows and falls steadily, as a choice between the
	// domains for all requests at once would fill one domain and then the other.
	share   float64
	updated time.Duration
}

// update adjusts the share. home and away are the costs of a request in the own domain
// and in the others, crossing included; room is false if the others are nearly full.
func (o *outbound) update(now time.Duration, home, away float64, room bool) {
	elapsed := min(now-o.updated, 4*shareInterval).Seconds()
	o.updated = now
	rate := shareGain * min(max(home/away-1, -1), 1)
	if !room {
		rate = min(rate, shareRelief)
	}
	o.share = min(max(o.share+rate*elapsed, 0), 1)
}

// leaves reports whether a request leaves the domain. Both domains have a candidate.
func (r *Router) leaves(now time.Duration, s *service, exclude []string, draw uint64) bool {
	if now-s.out.updated >= shareInterval {
		home, homeLoad := r.domainCost(now, s, s.local, exclude)
		away, awayLoad := r.domainCost(now, s, s.remote, exclude)
		// Crossing pays only beyond a margin, which is larger while nothing waits at
		// home.
		factor := 1 + r.cfg.CrossDomainCost
		if homeLoad < saturationLoad {
			factor = max(factor, r.cfg.IdleSpillFactor)
		}
		s.out.update(now, home, factor*away, awayLoad < fullLoad)
	}
	return fraction(draw^outboundSalt) < s.out.share
}

// outboundSalt makes the choice of the domain independent of that of the upstream.
const outboundSalt = 0x5bd1e995_9bd1e995

// domainCost returns the mean score of the better half of the candidates, and the lowest
// load of one that does not fail. A power of two choices mostly takes these.
func (r *Router) domainCost(now time.Duration, s *service, candidates []*stats, exclude []string) (cost, load float64) {
	var scores []float64
	load = math.Inf(1)
	for _, st := range candidates {
		if slices.Contains(exclude, st.Address) {
			continue
		}
		scores = append(scores, st.score(now, s.meanLatency))
		if st.failures.get(now, failureTimeConstant) < healthyFailures {
			load = min(load, st.load(now))
		}
	}
	slices.Sort(scores)
	better := scores[:(len(scores)+1)/2]
	for _, score := range better {
		cost += score / float64(len(better))
	}
	return cost, load
}

// OutboundShare returns the share of the requests for a service that leaves the node's
// domain, as of the last request.
func (r *Router) OutboundShare(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[name]; ok {
		return s.out.share
	}
	return 0
}
