package router

import (
	"slices"
	"time"

	"crocustack/core/informer"
)

// Explain returns the upstreams of a service that this node uses, as Pick would see
// them, and the share of the requests that leaves the domain. It changes nothing.
func (r *Router) Explain(now time.Duration, name string) (candidates []informer.Candidate, outbound float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	if !ok {
		return nil, 0
	}
	for _, st := range slices.Concat(s.local, s.remote, s.leaving) {
		candidates = append(candidates, informer.Candidate{
			Address: st.Address, Domain: st.Domain, Instance: st.Instance, Local: st.Domain == r.domain,
			Usable: st.connectable(now) && !st.leaving(now) && !st.departing,
			Score:  st.score(now, s.meanLatency), Load: st.load(now), Failures: st.failures.get(now, failureTimeConstant),
		})
	}
	return candidates, s.out.share
}
