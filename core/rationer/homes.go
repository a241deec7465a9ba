package rationer

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Homes maps organisations to their homes: one node in each domain. It is immutable.
type Homes struct {
	// byDomain holds the addresses of the nodes of each domain, sorted.
	byDomain map[string][]string
	// domains holds the domains of the settings, sorted. Their number is the number of
	// shares, whether or not a domain has nodes at present: a share that depended on
	// what a node sees at a time would not be the same everywhere.
	domains []string
	nodes   int
}

// NewHomes returns the homes among the nodes of each domain.
func NewHomes(domains []string, byDomain map[string][]string) Homes {
	h := Homes{byDomain: make(map[string][]string, len(byDomain)), domains: slices.Sorted(slices.Values(domains))}
	for d, addresses := range byDomain {
		h.byDomain[d] = slices.Sorted(slices.Values(addresses))
		h.nodes += len(addresses)
		if !slices.Contains(h.domains, d) && len(domains) == 0 {
			h.domains = append(h.domains, d)
		}
	}
	slices.Sort(h.domains)
	return h
}

// Shares returns the number of shares of each limit.
func (h Homes) Shares() int { return max(len(h.domains), 1) }

// Nodes returns the number of nodes.
func (h Homes) Nodes() int { return h.nodes }

// Domains returns the domains that have nodes, beginning with the given one.
func (h Homes) Domains(first string) []string {
	all := make([]string, 0, len(h.domains))
	if len(h.byDomain[first]) > 0 && slices.Contains(h.domains, first) {
		all = append(all, first)
	}
	for _, d := range h.domains {
		if d != first && len(h.byDomain[d]) > 0 {
			all = append(all, d)
		}
	}
	return all
}

// Home returns the address of an organisation's home in a domain, or "". Rendezvous
// hashing moves as few homes as possible when nodes come and go.
func (h Homes) Home(organisation, domain string) string {
	home, highest := "", uint64(0)
	seed := xxhash.Sum64String(organisation)
	for _, a := range h.byDomain[domain] {
		if w := weight(seed, a); home == "" || w > highest {
			home, highest = a, w
		}
	}
	return home
}

func weight(seed uint64, address string) uint64 {
	return xxhash.Sum64String(address) ^ seed*0x9e3779b97f4a7c15
}

// SameNodes reports whether a domain has the same nodes in both.
func (h Homes) SameNodes(o Homes, domain string) bool {
	return slices.Equal(h.byDomain[domain], o.byDomain[domain]) && maps.Equal(domainSet(h), domainSet(o))
}

func domainSet(h Homes) map[string]bool {
	set := make(map[string]bool, len(h.domains))
	for _, d := range h.domains {
		set[d] = true
	}
	return set
}
