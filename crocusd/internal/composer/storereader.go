package composer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"crocustack/core/connector"
	"crocustack/core/observer"
	"crocustack/core/releaser"
	"crocustack/core/router"
	"crocustack/core/timekeeper"
)

const (
	// A watch (long poll) waits for watchWaitPerMember for each member of the
	// fleet, between minWatchWait and maxWatchWait, so that the watches that end
	// without a change cost the store about the same number of calls a second for
	// any fleet. The wait bounds how long a dead connection to the store remains
	// undetected when neither TCP keep-alive nor a newer revision of a peer shows
	// it.
	minWatchWait       = 2 * time.Second
	maxWatchWait       = 8 * time.Second
	watchWaitPerMember = 40 * time.Millisecond
	// storeTimeout is how long a response of the store may take beyond the wait of
	// the watch.
	storeTimeout = 700 * time.Millisecond
	// listTimeout bounds a list of many pages from a store that is slow.
	listTimeout = 15 * time.Second
	// Failed reads are retried with exponential backoff from minBackoff up to
	// maxBackoff, with jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// errBehind cancels a watch that has missed a position which a peer has read.
var errBehind = errors.New("a peer has read a later position of the store than this watch returned")

// errRefresh cancels a watch because new evidence is needed that the configuration is the
// newest one.
var errRefresh = errors.New("new evidence is needed")

// readStore reads the store and applies its state until ctx is done.
func (n *Node) readStore(ctx context.Context) {
	f := storeReader{n: n, tracker: observer.New(), lagTolerance: peerLagTolerance}
	var debounce debouncer
	failures := 0
	for ctx.Err() == nil {
		before, watched, began := f.position, f.listed, n.clock.Now()
		read := false
		n.isolator.Run("read of the store", "", func() { read = f.read(ctx) })
		if read {
			failures = 0
			if watched && before.Before(f.position) {
				timekeeper.Sleep(ctx, debounce.next(n.clock.Now()-began))
			}
			continue
		}
		backoff := min(minBackoff<<min(failures, 8), maxBackoff)
		failures++
		timekeeper.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
		f.expire()
	}
}

// storeReader is the state of the loop that reads the store.
type storeReader struct {
	n       *Node
	tracker *observer.Tracker
	// position is the position of the last response.
	position connector.Position
	// listed is false while the state must be listed.
	listed bool
	// lost is true while the store is unreachable.
	lost bool
	// lagTolerance is how long the next watch may lag behind a peer.
	lagTolerance time.Duration
	// asked is true if the next read must not wait.
	asked bool
	// members is the number of members in the view that was last applied.
	members int
	// stored is the version of the configuration that the store was last seen to hold.
	stored int64
}

// watchWait returns the longest wait of one watch in a fleet of the given number
// of members.
func watchWait(members int) time.Duration {
	return min(max(time.Duration(members)*watchWaitPerMember, minWatchWait), maxWatchWait)
}

// read lists or watches the store once. It returns false when the next read has
// to wait for the backoff.
func (f *storeReader) read(ctx context.Context) bool {
	began, sent := f.n.clock.Now(), timekeeper.SinceBoot()
	wait := f.tracker.WatchWait(began, watchWait(f.members))
	if !f.listed || f.lost || f.asked {
		wait = 0 // Only checks whether the store responds, or has changed.
	}
	f.asked = false
	timeout := wait + storeTimeout
	if !f.listed {
		timeout = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	if position := f.position; f.listed {
		tolerance := f.lagTolerance
		go func() {
			if f.n.peerPosition.waitBehind(ctx, position, tolerance) {
				abandon(errBehind)
			}
		}()
	}
	if f.listed && wait > 0 {
		go func() {
			select {
			case <-ctx.Done():
			case <-f.n.refresh:
				abandon(errRefresh)
			}
		}()
	}
	var cs connector.Changes
	var err error
	if f.listed {
		cs, err = f.n.store.Watch(ctx, f.position, wait)
	} else {
		cs, err = f.n.store.List(ctx)
	}
	now := f.n.clock.Now()
	if err == nil {
		err = observer.CheckEra(f.position, cs.Position, f.listed)
	}
	if err != nil {
		return f.handleError(ctx, began, now, err)
	}
	if f.lost {
		f.lost = false
		f.n.storeLost.Store(false)
		f.n.log.Info("store regained", "Era", cs.Position.Era, "Revision", cs.Position.Revision)
	}
	f.lagTolerance = peerLagTolerance
	f.applyChanges(now, cs)
	f.recordEvidence(sent, cs)
	return true
}

// recordEvidence records that the store, asked at the given time, has the configuration
// that is in force. A store that was restored from a copy may have an earlier one.
func (f *storeReader) recordEvidence(sent time.Duration, cs connector.Changes) {
	for _, c := range cs.Changes {
		if p, ok := c.(connector.ConfigPublished); ok {
			f.stored = p.Config.Version
		}
	}
	if inForce := f.tracker.View().Config.Version; inForce != 0 && f.stored == inForce {
		f.n.evidence.ObserveRead(sent, inForce)
	}
}

// handleError handles the error of a read. It returns true when the next read
// may follow at once.
func (f *storeReader) handleError(ctx context.Context, began, now time.Duration, err error) bool {
	switch {
	case errors.Is(err, connector.ErrCompacted):
		f.n.log.Info("store dropped its history; listing it again", "Era", f.position.Era, "Revision", f.position.Revision)
		f.listed = false
		return true
	case errors.Is(err, observer.ErrRestored):
		f.n.log.Info("store was restored from a copy; listing it again", "EraBefore", f.position.Era, "RevisionBefore", f.position.Revision)
		f.listed = false
		return true
	case errors.Is(context.Cause(ctx), errRefresh):
		f.asked = true
		return true
	case errors.Is(context.Cause(ctx), errBehind):
		peer := f.n.peerPosition.highest()
		f.n.log.Info("watch of the store is behind; asking again",
			"Era", f.position.Era, "Revision", f.position.Revision, "PeerEra", peer.Era, "PeerRevision", peer.Revision)
		if f.position.Era < peer.Era {
			// A watch from a revision of the era before may wait although the
			// restored store holds other changes.
			f.listed = false
		}
		// The store may take longer than that for each response.
		f.lagTolerance = min(2*f.lagTolerance, storeTimeout)
		// A store that returns this node less than it returned a peer is read no
		// more often than after a failure.
		f.tracker.RecordFailure(now)
		return false
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		// The read got no response: the store may have been unreachable since it
		// began.
		now = began
	}
	f.tracker.RecordFailure(now)
	if !f.lost {
		f.lost = true
		f.n.storeLost.Store(true)
		f.n.log.Info("store lost", "Era", f.position.Era, "Revision", f.position.Revision, "Error", err.Error())
	}
	return false
}

// applyChanges applies the response to a read.
func (f *storeReader) applyChanges(now time.Duration, cs connector.Changes) {
	for _, c := range cs.Changes {
		if u, ok := c.(connector.Unreadable); ok {
			f.n.log.Info("entry of the store ignored", "Key", u.Key, "Error", u.Err.Error())
		}
	}
	changed := false
	if f.listed {
		changed = f.tracker.ApplyChanges(now, cs)
	} else {
		changed = f.tracker.ApplyList(now, cs)
	}
	f.position, f.listed = cs.Position, true
	f.n.handler.SetPosition(cs.Position)
	f.n.read.Store(&cs.Position)
	if f.tracker.Expire(now) || changed || f.n.arbiter.Changed() {
		f.apply(now)
	}
}

// expire applies the view again when the grace period of a missing entry is
// over, or when another entry counts for a machine.
func (f *storeReader) expire() {
	now := f.n.clock.Now()
	if f.tracker.Expire(now) || f.n.arbiter.Changed() {
		f.apply(now)
	}
}

// apply applies the current view.
func (f *storeReader) apply(now time.Duration) {
	v := f.tracker.View()
	f.members = len(v.Members)
	f.n.apply(now, v, f.position)
}

// apply configures the components of the node from a view.
func (n *Node) apply(now time.Duration, v observer.View, position connector.Position) {
	if v.Config.Version == 0 {
		return
	}
	n.log.Info("view in force", "Config", v.Config.Version, "Members", len(v.Members), "Era", position.Era, "Revision", position.Revision)
	n.replicator.SetMembers(n.linkAddresses(v.Members))
	servers := n.chooseServers(v)
	own := max(n.countGates(servers), 1)
	services := make(map[string]releaser.Service, len(v.Config.Services))
	for name := range v.Config.Services {
		services[name] = releaser.Service{Name: name, RetryRatio: n.bounds.Load().RetryRatio}
		n.router.SetUpstreams(now, name, n.upstreams(servers, name))
		n.registerOutbound(name)
	}
	b := n.bounds.Load()
	n.forward.SetRetryBurst(b.RetrySlack)
	n.forward.SetServices(services)
	n.handler.SetRetryBudget(b.RetryRatio*gateRetryShare, b.RetrySlack/float64(own), b.RetryWindow)
	n.setSlots(servers)
	n.applyOrganisations(v)
	n.dispatch.SetConfig(v.Config)
}

// maxOutboundGauges bounds the services that have a gauge of their own.
const maxOutboundGauges = 64

// registerOutbound registers the gauge Outbound.<service>: the share of the requests for
// a service that leaves the node's domain.
func (n *Node) registerOutbound(service string) {
	if n.outboundGauges[service] || len(n.outboundGauges) >= maxOutboundGauges {
		return
	}
	n.outboundGauges[service] = true
	n.rec.Registry().GetOrRegister("Outbound."+service, metrics.NewFunctionalGaugeFloat64(func() float64 { return n.router.OutboundShare(service) }))
}

// linkAddress returns the link address of the node beside a member.
func (n *Node) linkAddress(m connector.Member) string {
	return net.JoinHostPort(hostOnly(m.Address), n.linkPort)
}

// linkAddresses returns the link addresses of the nodes beside all members, each once.
func (n *Node) linkAddresses(members []connector.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, n.linkAddress(m))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// gateRetryShare is the fraction of the agreed retry ratio that each gate uses.
// The rest is a margin: clients may be refused before they reach a gate, and
// gates don't see each other's requests.
const gateRetryShare = 0.9

// countGates returns the number of gates of the local backend server's service:
// one per server. They share the retry slack.
func (n *Node) countGates(servers []connector.Member) int {
	own := *n.service.Load()
	count := 0
	for _, m := range servers {
		if m.Service == own {
			count++
		}
	}
	return count
}

// upstreams returns the members of a service that are not draining, sorted by
// address.
func (n *Node) upstreams(servers []connector.Member, service string) []router.Upstream {
	var us []router.Upstream
	for _, m := range servers {
		if m.Draining || m.Service != service {
			continue
		}
		us = append(us, router.Upstream{
			Service: service, Address: n.linkAddress(m), Domain: m.Domain,
			Region: cmp.Or(n.regions[m.Domain], n.cfg.Node.Region), Instance: m.Instance, StartMillis: m.StartMillis,
		})
	}
	slices.SortFunc(us, func(a, b router.Upstream) int { return cmp.Compare(a.Address, b.Address) })
	return us
}

// setSlots applies the number of slots that the local backend server states.
func (n *Node) setSlots(servers []connector.Member) {
	own := *n.service.Load()
	for _, m := range servers {
		if m.Service == own && !m.Draining && hostOnly(m.Address) == n.backendHost {
			n.handler.SetLimits(m.Slots, 0, 0)
		}
	}
}
