package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// compareInterval is the interval at which neighbours compare digests.
	compareInterval = time.Second
	// retryInterval is the time between two exchanges with a peer that fails.
	retryInterval = 250 * time.Millisecond
	// unlistedTime is how long a node that is no longer listed counts as a member.
	// Its backend server may be down, while it still takes requests of callers.
	unlistedTime = 5 * time.Minute
)

// neighbour is the state of one neighbour.
type neighbour struct {
	// pushed is the version of the table up to which changes were pushed.
	pushed uint64
	// comparedAt is when digests were compared last.
	comparedAt time.Duration
	// retryAt is the time before which no exchange begins, after one has failed.
	retryAt time.Duration
	failing bool
	// busy is true while an exchange is under way.
	busy bool
}

// planner decides with which neighbours of a node an exchange is due. It is not
// safe for concurrent use.
type planner struct {
	self string
	// listedAt holds when each member was listed last.
	listedAt   map[string]time.Duration
	neighbours map[string]*neighbour
}

func newPlanner(self string) *planner {
	return &planner{self: self, listedAt: make(map[string]time.Duration), neighbours: make(map[string]*neighbour)}
}

// setMembers takes over the link addresses of the listed members.
func (p *planner) setMembers(now time.Duration, addresses []string) {
	for _, a := range addresses {
		p.listedAt[a] = now
	}
	var members []string
	for a, at := range p.listedAt {
		if now-at > unlistedTime {
			delete(p.listedAt, a)
			continue
		}
		members = append(members, a)
	}
	before := p.neighbours
	p.neighbours = make(map[string]*neighbour)
	for _, a := range neighboursOf(p.self, members) {
		if n, ok := before[a]; ok {
			p.neighbours[a] = n
		} else {
			p.neighbours[a] = &neighbour{comparedAt: now}
		}
	}
}

// neighboursOf returns the members 1, 2, 4, 8 ... places after a node on the ring of
// the hashes of their addresses.
func neighboursOf(self string, members []string) []string {
	ring := append([]string{self}, members...)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	ring = slices.Compact(ring)
	own := slices.Index(ring, self)
	var out []string
	for distance := 1; distance < len(ring); distance *= 2 {
		out = append(out, ring[(own+distance)%len(ring)])
	}
	return out
}

// state is the state of the table of suspects that a plan depends on.
type state struct {
	version uint64
	// judged is true while there is a verdict on any request.
	judged bool
}

// due returns when the next exchange with a neighbour is due; ok is false if none
// is.
func (n *neighbour) due(s state) (at time.Duration, ok bool) {
	switch {
	case n.busy || s.version == 0:
		return 0, false
	case n.pushed != s.version:
		return n.retryAt, true
	case s.judged:
		return max(n.comparedAt+compareInterval, n.retryAt), true
	default:
		return 0, false
	}
}

// begin returns the neighbours with which an exchange is due, and marks them as
// busy.
func (p *planner) begin(now time.Duration, s state) []string {
	var out []string
	for a, n := range p.neighbours {
		if at, ok := n.due(s); ok && now >= at {
			n.busy = true
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// wait returns the time until the next exchange is due; ok is false if none is.
func (p *planner) wait(now time.Duration, s state) (wait time.Duration, ok bool) {
	for _, n := range p.neighbours {
		at, due := n.due(s)
		if !due {
			continue
		}
		if left := max(at-now, 0); !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// succeed records that changes were pushed up to a version and that digests were
// compared.
func (p *planner) succeed(now time.Duration, address string, version uint64) {
	if n, ok := p.neighbours[address]; ok {
		*n = neighbour{pushed: version, comparedAt: now}
	}
}

// fail records that an exchange failed, and reports whether it is the first in a
// row.
func (p *planner) fail(now time.Duration, address string) bool {
	n, ok := p.neighbours[address]
	if !ok {
		return false
	}
	first := !n.failing
	n.busy, n.failing, n.retryAt = false, true, now+retryInterval
	return first
}

// pushed returns the version up to which changes were pushed to a neighbour.
func (p *planner) pushed(address string) uint64 {
	if n, ok := p.neighbours[address]; ok {
		return n.pushed
	}
	return 0
}
