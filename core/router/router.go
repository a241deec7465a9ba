package router

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/resolver"
)

// Config holds the settings of a Router. Zero fields take the defaults.
type Config struct {
	// SubsetSize is the maximum number of upstreams of one service that this
	// node uses; default 8. A quarter of it is reserved for other domains.
	SubsetSize int
	// SpillFactor is the ratio of the lowest score in the node's own domain to
	// the score of a candidate in another domain above which requests spill
	// over to the other domain; default 1.5.
	SpillFactor float64
	// IdleSpillFactor replaces SpillFactor while the candidate in the node's own
	// domain has free capacity and does not fail; default 3. A somewhat faster
	// upstream is then no reason to send a request and its answer to another
	// domain, a several times slower one in the own domain is.
	IdleSpillFactor float64
	// SlowStart is the time over which the weight of a new upstream rises to 1;
	// default 10 s.
	SlowStart time.Duration
	// LeavingTime is how long a leaving upstream is avoided; default 60 s,
	// twice the default drain timeout. After that the address may belong to a
	// new instance.
	LeavingTime time.Duration
	// LastResort allows a leaving upstream to be chosen when there is no other
	// one, since it may still accept requests.
	LastResort bool
}

func (c Config) withDefaults() Config {
	if c.SubsetSize <= 0 {
		c.SubsetSize = 8
	}
	if c.SpillFactor <= 0 {
		c.SpillFactor = 1.5
	}
	if c.IdleSpillFactor <= 0 {
		c.IdleSpillFactor = 3
	}
	if c.SlowStart <= 0 {
		c.SlowStart = 10 * time.Second
	}
	if c.LeavingTime <= 0 {
		c.LeavingTime = time.Minute
	}
	return c
}

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
		cfg:      cfg.withDefaults(),
		domain:   domain,
		region:   region,
		seed:     seed,
		services: make(map[string]*service),
		leaving:  make(map[string]time.Duration),

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
		s.meanLatency = previous.meanLatency
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
	case remote != nil && r.spills(now, s, exclude, remoteScore):
		return Chosen{remote.Upstream, WhySpill, remoteScore}
	default:
		return Chosen{local.Upstream, WhyLocal, localScore}
	}
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
	seed := xxhash.Sum64String(key)
	var home *stats
	var highest uint64
	for _, st := range s.byAddress {
		h := rank(seed, st.Address)
		if home == nil || h > highest || h == highest && st.Address < home.Address {
			home, highest = st, h
		}
	}
	return Chosen{Upstream: home.Upstream, Why: WhyHome}
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

// HasOther reports whether Pick could choose another upstream than the one with
// the address and the excluded ones.
func (r *Router) HasOther(now time.Duration, name, address string, exclude []string) bool {
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
