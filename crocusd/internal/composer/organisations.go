package composer

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"crocustack/core/authenticator"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/observer"
	"crocustack/core/rationer"
	"crocustack/core/timekeeper"
	"crocustack/crocusd/internal/apportioner"
)

const (
	// defaultKeysWithin is how old the evidence may be with which a key is accepted
	// where nothing is agreed.
	defaultKeysWithin = 10 * time.Second
	// evidenceMargin is kept from the agreed time for the inaccuracy of clocks.
	evidenceMargin = 100 * time.Millisecond
	// issueShare is the fraction of that age after which a home whose view of the store
	// is not known to be its latest state gives out no more tokens.
	issueShare = 0.6
	// refreshShare is the fraction of an age at which the store is asked for new
	// evidence, while requests come that need it. Evidence of peers mostly spares that.
	refreshShare = 0.5
	// proofWait bounds the wait of a request for new evidence, and proofInterval is the
	// pause between two looks at it. The store answers within some milliseconds.
	proofWait     = 150 * time.Millisecond
	proofInterval = 5 * time.Millisecond
	// handover is how long the successor of a home waits: the longest pause between two
	// watches, and the way to the store and back.
	handover = maxDebounce + 200*time.Millisecond
)

// keysWithin returns how old the evidence may be with which a key is accepted.
func (n *Node) keysWithin() time.Duration {
	if agreed := n.bounds.Load().Revoke; agreed > 0 {
		return agreed - evidenceMargin
	}
	return defaultKeysWithin
}

// provenKeys reports whether the configuration with the version was the newest one
// recently enough to accept keys. If not, it asks the store and waits for a short time.
func (n *Node) provenKeys(version int64) bool {
	within := n.keysWithin()
	if !n.evidence.Current(timekeeper.SinceBoot(), time.Duration(refreshShare*float64(within)), version) {
		n.askStore()
	}
	for end := time.Now().Add(proofWait); ; time.Sleep(proofInterval) {
		if n.evidence.Current(timekeeper.SinceBoot(), within, version) {
			return true
		}
		if n.storeLost.Load() || time.Now().After(end) {
			return false
		}
	}
}

// provenView reports whether this node's view of the store was its latest state recently
// enough to give out tokens.
func (n *Node) provenView() bool {
	within := n.issueWithin()
	if !n.evidence.ViewWithin(timekeeper.SinceBoot(), time.Duration(refreshShare*float64(within))) {
		n.askStore()
	}
	return n.evidence.ViewWithin(timekeeper.SinceBoot(), within)
}

// askStore makes readStore ask the store at once.
func (n *Node) askStore() {
	select {
	case n.refresh <- struct{}{}:
	default:
	}
}

// observeEvidence takes over the evidence of a peer that answered a request sent at a time
// since boot.
func (n *Node) observeEvidence(sent time.Duration, ld *encoder.Load) {
	own := n.read.Load()
	sameView := own != nil && !own.Before(connector.Position{Era: ld.GetEra(), Revision: ld.GetRevision()})
	n.evidence.ObservePeer(sent, authenticator.PeerEvidence{
		Version: ld.GetConfigVersion(), Age: time.Duration(ld.GetEvidenceMicros()) * time.Microsecond,
		ViewAge: time.Duration(ld.GetViewMicros()) * time.Microsecond, SameView: sameView,
	})
}

// registerEvidence registers the gauge Keys.EvidenceAgeMs: the age of the evidence that
// the configuration is the newest one, or -1 if there is none.
func (n *Node) registerEvidence() {
	n.rec.Registry().GetOrRegister("Keys.EvidenceAgeMs", metrics.NewFunctionalGauge(func() int64 {
		age, version := n.evidence.Age(timekeeper.SinceBoot())
		if version == 0 {
			return -1
		}
		return age.Milliseconds()
	}))
}

// issueWithin is how long a home may go on without having read the store.
func (n *Node) issueWithin() time.Duration {
	return time.Duration(issueShare * float64(cmp.Or(n.bounds.Load().Revoke, defaultKeysWithin/2)))
}

func (n *Node) apportionerConfig() apportioner.Config {
	b := n.bounds.Load()
	return apportioner.Config{
		Config: rationer.ConfigFor(b.QuotaWindow, b.QuotaOverage), Self: n.self.Address, Domain: n.cfg.Node.Domain, Handover: handover,
		Fresh: n.provenView,
	}
}

// applyOrganisations applies the organisations of a view and the homes of their limits.
// All nodes must choose the same homes, so the choice depends on the view alone.
func (n *Node) applyOrganisations(v observer.View) {
	if !v.Config.Keyed {
		return
	}
	byDomain := make(map[string][]string)
	for host, m := range newestByHost(namedMembers(v)) {
		if !m.Draining {
			byDomain[m.Domain] = append(byDomain[m.Domain], net.JoinHostPort(host, n.linkPort))
		}
	}
	n.apportioner.SetHomes(rationer.NewHomes(slices.Collect(maps.Keys(n.regions)), byDomain))
	n.apportioner.SetOrganisations(v.Config.Organisations)
}
