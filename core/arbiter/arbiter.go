package arbiter

import (
	"cmp"
	"net"
	"slices"
	"sync"

	"crocustack/core/connector"
)

// Choice is the decision about the members that are listed on all machines. No member is
// in both lists. Both are sorted by instance.
type Choice struct {
	// Servers holds the members that count: at most one for each service on a machine.
	Servers []connector.Member
	// LeftOut holds the others.
	LeftOut []connector.Member
}

// evidence is what the backend server on one machine has shown.
type evidence struct {
	// claims holds the members that are listed on the machine, and servers those of them
	// that count.
	claims, servers []connector.Member
	// refuted holds the claims whose requests the server has refused as meant for another
	// instance. At least one claim is not refuted.
	refuted []connector.Member
}

// Arbiter decides which members are the backend servers on their machines. It is safe for
// concurrent use.
type Arbiter struct {
	mu sync.Mutex
	// byHost holds the evidence of each host on which members are listed.
	byHost map[string]*evidence
	// changed is true if evidence has come since the last call of Choose that changes its
	// result.
	changed bool
}

// New returns an Arbiter without evidence.
func New() *Arbiter { return &Arbiter{byHost: make(map[string]*evidence)} }

// Refute records that the server on a host refused a request because it is not the
// instance that the request was for. It reports whether Choose now returns something else.
func (a *Arbiter) Refute(host, instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byHost[host]
	if e == nil || len(e.claims) < 2 {
		return false // The server has no entry of its own yet.
	}
	of := func(m connector.Member) bool { return m.Instance == instance }
	i := slices.IndexFunc(e.claims, of)
	if i < 0 || slices.ContainsFunc(e.refuted, e.claims[i].SameRun) {
		return false
	}
	e.refuted = append(e.refuted, e.claims[i])
	if !slices.ContainsFunc(e.servers, of) {
		return false
	}
	a.changed = true
	return true
}

// Changed reports whether Choose would return something else than at its last call for the
// same members.
func (a *Arbiter) Changed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Choose returns which of the members count. The evidence of machines without a member is
// forgotten.
func (a *Arbiter) Choose(members []connector.Member) Choice {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed = false
	claims := make(map[string][]connector.Member)
	for _, m := range members {
		if host, _, err := net.SplitHostPort(m.Address); err == nil { // The adapter passes on only valid addresses.
			claims[host] = append(claims[host], m)
		}
	}
	before := a.byHost
	a.byHost = make(map[string]*evidence, len(claims))
	var c Choice
	for host, ms := range claims {
		e := &evidence{claims: ms}
		if old := before[host]; old != nil {
			e.refuted = old.refuted
		}
		e.choose()
		a.byHost[host] = e
		for _, m := range ms {
			if slices.Contains(e.servers, m) {
				c.Servers = append(c.Servers, m)
			} else {
				c.LeftOut = append(c.LeftOut, m)
			}
		}
	}
	slices.SortFunc(c.Servers, byInstance)
	slices.SortFunc(c.LeftOut, byInstance)
	return c
}

func byInstance(a, b connector.Member) int { return cmp.Compare(a.Instance, b.Instance) }

// choose sets servers: for each service the best claim that is not refuted.
func (e *evidence) choose() {
	e.forget()
	best := make(map[string]connector.Member)
	for _, m := range e.claims {
		if slices.ContainsFunc(e.refuted, m.SameRun) {
			continue
		}
		if old, ok := best[m.Service]; !ok || better(m, old) {
			best[m.Service] = m
		}
	}
	e.servers = make([]connector.Member, 0, len(best))
	for _, m := range best {
		e.servers = append(e.servers, m)
	}
}

// better reports whether claim m goes before claim o of the same service. A claim that
// takes the server from use yields to an earlier one: while no request is sent for it,
// the server can't contradict it. Otherwise the newest one is that of the successor.
func better(m, o connector.Member) bool {
	if m.Draining != o.Draining {
		return o.Draining
	}
	if m.Written != o.Written {
		return o.Written.Before(m.Written)
	}
	return m.Instance > o.Instance
}

// forget drops the evidence against runs that are no longer listed. If it is against all
// claims, some of it is from before the server was replaced: all of it is dropped.
func (e *evidence) forget() {
	e.refuted = slices.DeleteFunc(slices.Clone(e.refuted), func(m connector.Member) bool {
		return !slices.ContainsFunc(e.claims, m.SameRun)
	})
	if len(e.refuted) == len(e.claims) {
		e.refuted = nil
	}
}
