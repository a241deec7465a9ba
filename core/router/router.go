package router

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// service is the routing state of one called service.
type service struct {
	byAddress map[string]*stats
	// local and remote are the subset: upstreams of the node's own domain and of
	// other domains that were not leaving when the subset was built. Together
	// they have at most SubsetSize entries.
	local, remote []*stats
	// leaving holds the upstreams that were leaving when the subset was built.
	leaving []*stats
	// rebuildAt is when the first entry of leaving may be used again, or 0 when
	// leaving is empty.
	rebuildAt time.Duration
	// meanLatency is the mean latency over all upstreams in seconds, 0 before the
	// first sample.
	meanLatency float64
	// out is used only with Config.CrossDomainCost.
	out outbound
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	cfg            Config
	domain, region string
	seed           uint64

	mu       sync.Mutex
	services map[string]*service
	// leaving maps an address to the time until which it gets no new work. It is
	// separate from the upstream lists because a list may be older than the
	// message that announced the departure.
	leaving map[string]time.Duration
	// departures holds the runs that have stated that they leave.
	departures departures
}

// New returns a router for a node in the domain and region. Nodes with different
// seeds select different subsets.
func New(cfg Config, domain, region string, seed uint64) *Router {
	return &Router{
		cfg:        cfg.withDefaults(),
		domain:     domain,
		region:     region,
		seed:       seed,
		services:   make(map[string]*service),
		leaving:    make(map[string]time.Duration),
		departures: make(departures),
	}
}

// SetUpstreams replaces the list of a service's upstreams. The statistics of an
// upstream are kept as long as it is listed with the same run of an instance.
func (r *Router) SetUpstreams(now time.Duration, name string, us []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.leaving, func(_ string, until time.Duration) bool { return now >= until })
	r.departures.update(now, us)
	previous, existed := r.services[name]
	s := &service{byAddress: make(map[string]*stats, len(us))}
	if existed {
		s.meanLatency, s.out = previous.meanLatency, previous.out
	}
	for _, u := range us {
		st := &stats{rank: rank(r.seed, u.Address), slowStartBegan: now}
		if !existed {
			// In the first list every upstream is new to this node although it may
			// have been running for long, so none gets a slow start.
			st.slowStartBegan = now - r.cfg.SlowStart
		} else if old, ok := previous.byAddress[u.Address]; ok && old.Instance == u.Instance && old.StartMillis == u.StartMillis {
			// The statistics of an earlier instance do not apply to a new one.
			st = old
		}
		st.Upstream = u
		st.leavingUntil = r.leaving[u.Address]
		st.departing = r.departures.includes(u)
		if st.Instance == "" {
			st.slowStartBegan = max(st.slowStartBegan, st.leavingUntil)
		}
		s.byAddress[u.Address] = st
	}
	r.services[name] = s
	r.rebuild(now, s)
}

// MarkLeaving stops new work for an upstream for Config.LeavingTime.
func (r *Router) MarkLeaving(now time.Duration, address string) {
	r.setLeaving(now, address, now+r.cfg.LeavingTime)
}

// ClearLeaving allows new work for an upstream again after a new instance has
// announced itself under the address. An upstream without an instance
// identifier goes through a slow start.
func (r *Router) ClearLeaving(now time.Duration, address string) {
	r.setLeaving(now, address, now)
}

// MarkUnreachable records that no connection to the upstream could be opened.
// The upstream is avoided during a short backoff while others are available.
func (r *Router) MarkUnreachable(now time.Duration, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		if st, ok := s.byAddress[address]; ok {
			st.markUnreachable(now)
		}
	}
}

// MarkMisplaced records that the node at an address is not beside a server of the service
// for which it is listed. It is avoided as an unreachable one for this service alone.
func (r *Router) MarkMisplaced(now time.Duration, name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st := r.find(name, address); st != nil {
		st.markUnreachable(now)
	}
}

func (r *Router) setLeaving(now time.Duration, address string, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[address] = until
	for _, s := range r.services {
		if st, ok := s.byAddress[address]; ok {
			st.leavingUntil = until
			if st.Instance == "" {
				// The backend server may have been replaced together with its node.
				st.slowStartBegan = until
			}
			r.rebuild(now, s)
		}
	}
}

// rebuild selects the subset. Rendezvous hashing keeps the number of replaced
// members minimal when the list changes.
func (r *Router) rebuild(now time.Duration, s *service) {
	s.local, s.remote, s.leaving, s.rebuildAt = nil, nil, nil, 0
	for _, st := range s.byAddress {
		switch {
		case st.departing:
		case st.leaving(now):
			s.leaving = append(s.leaving, st)
			if s.rebuildAt == 0 || st.leavingUntil < s.rebuildAt {
				s.rebuildAt = st.leavingUntil
			}
		case st.Domain == r.domain:
			s.local = append(s.local, st)
		default:
			s.remote = append(s.remote, st)
		}
	}
	byRank := func(a, b *stats) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(b.rank, a.rank), cmp.Compare(a.Address, b.Address))
	}
	slices.SortFunc(s.local, byRank)
	slices.SortFunc(s.remote, byRank)
	remote := min(len(s.remote), max(r.cfg.SubsetSize/4, r.cfg.SubsetSize-len(s.local)))
	local := min(len(s.local), r.cfg.SubsetSize-remote)
	s.local, s.remote = s.local[:local], s.remote[:remote]
}

// distance is 0 for upstreams in the node's region and 1 for others.
func (r *Router) distance(st *stats) int {
	if st.Region == r.region {
		return 0
	}
	return 1
}

// Start counts an attempt that is sent to an upstream. The caller must call
// Finish when the attempt ends.
func (r *Router) Start(_ time.Duration, name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st := r.find(name, address); st != nil {
		st.inFlight++
	}
}

// Finish updates the statistics of an upstream with the result of an attempt.
func (r *Router) Finish(now time.Duration, name, address string, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.find(name, address)
	if st == nil {
		return
	}
	st.finish(now, res)
	if !res.Failed && !res.Refused {
		s := r.services[name]
		s.meanLatency = ewma(s.meanLatency, res.Latency.Seconds())
	}
}

// RateLimit returns the rate limit in requests a second that an upstream has
// reported recently for its backend server, or 0.
func (r *Router) RateLimit(now time.Duration, name, address string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.find(name, address)
	if st == nil || now-st.rateLimit.at > rateLimitLifetime {
		return 0
	}
	return st.rateLimit.value
}

// Subset returns the upstreams of a service that this node uses, those of its
// own domain first.
func (r *Router) Subset(name string) []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var us []Upstream
	if s, ok := r.services[name]; ok {
		for _, st := range slices.Concat(s.local, s.remote) {
			us = append(us, st.Upstream)
		}
	}
	return us
}

func (r *Router) find(name, address string) *stats {
	s, ok := r.services[name]
	if !ok {
		return nil
	}
	return s.byAddress[address]
}

// rank is the rendezvous hash of a seed and an address.
func rank(seed uint64, address string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	d := xxhash.New()
	_, _ = d.Write(b[:]) // Never fails.
	_, _ = d.WriteString(address)
	return d.Sum64()
}
