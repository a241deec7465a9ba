package matcher

import (
	"net"
	"slices"
	"strings"
	"sync"

	"crocustack/core/connector"
)

// Table is an immutable routing table. It is safe for concurrent use.
type Table struct {
	// byHost holds the routes of each host, longest prefix first. The keys are
	// in lower case and without port.
	byHost map[string][]connector.Route
}

// NewTable returns a table of the given routes.
func NewTable(routes []connector.Route) *Table {
	t := &Table{byHost: make(map[string][]connector.Route)}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b connector.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route for a host and path, and false when there is none.
func (t *Table) Find(host, path string) (connector.Route, bool) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return connector.Route{}, false
}

func canonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Splitter distributes the requests of a route over its services in proportion
// to their weights. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// credit holds, by route and service, how far the service is behind its
	// share, in requests. The credits of a route sum to 0.
	credit map[string]map[string]float64
}

// NewSplitter returns a splitter in which all credits are 0.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string]map[string]float64)} }

// Reset clears all credits. It must be called when the configuration changes.
func (s *Splitter) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.credit)
}

// Choose returns the service for the next request of a route by smooth weighted
// round robin.
func (s *Splitter) Choose(r connector.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if credit == nil {
		credit = make(map[string]float64, len(r.Shares))
		s.credit[r.Name] = credit
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	best := r.Shares[0].Service
	for _, share := range r.Shares {
		credit[share.Service] += share.Weight / total
		if credit[share.Service] > credit[best] {
			best = share.Service
		}
	}
	credit[best]--
	return best
}
