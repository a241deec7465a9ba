package synchronizer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
	"crocustack/core/releaser"
	"crocustack/core/spreader"
	"crocustack/core/watcher"
)

const (
	// comparisonInterval is the time between two anti-entropy rounds, in each of
	// which a node compares digests with one peer.
	comparisonInterval = time.Second
	// maxPushBytes is the largest encoded size of a change that is pushed to
	// peers. A larger change, such as the whole catalogue that a joining node
	// receives, is announced by a digest, so that only peers that lack it pull it.
	maxPushBytes = 16 << 10
	// maxMessageBytes is the size above which content sent to a peer is split into
	// several messages.
	maxMessageBytes = 64 << 10
	// minExchangeInterval is the shortest interval between two answers to a
	// differing digest. The answer holds the digests of all sections and cells,
	// about 10 KB at full scale, and while a whole fleet starts every comparison
	// finds a difference.
	minExchangeInterval = 250 * time.Millisecond
	// transferWindow is the time after a pull or an answered digest during which
	// updates from that peer count as requested transfers, which are not pushed
	// on to other peers.
	transferWindow = 2 * time.Second
	// maxJoinAttempts is the number of unanswered pulls after which a joining node
	// stops waiting for peers. Each pull has one comparison interval to be
	// answered.
	maxJoinAttempts = 3
)

// Reserved names in Digest, Pull and Interest messages, besides the names of
// sections, cells and services.
const (
	allItems    = "*"          // In Pull: the whole catalogue.
	allCells    = "instances/" // In Digest and Pull: all instance records in the scopes of both sides.
	allServices = "*"          // In Interest: the records of all services.
)

// outgoing is a control message to send to a peer.
type outgoing struct {
	address string
	message *encoder.Control
}

// engine makes the decisions of one node. It has no goroutines and no clock, so
// that tests can run a whole fleet in virtual time; messages to send are
// appended to out. It is not safe for concurrent use.
type engine struct {
	cfg       Config
	log       logr.Logger
	random    *rand.Rand
	planner   *watcher.Planner
	spreader  *spreader.Spreader
	catalogue releaser.Catalogue
	view      releaser.View
	table     watcher.Table
	// scopes holds the scope of each peer with an open link.
	scopes map[string]watcher.Scope
	// addedInterest holds the services added to the interest at run time.
	addedInterest map[string]bool
	out           []outgoing
	// transferUntil holds, for each peer that was asked for content, the time until
	// which its updates count as requested transfers.
	transferUntil map[string]time.Duration
	// announcePending is true when a change was merged that is not pushed; the next
	// tick sends a short digest to the control peers.
	announcePending bool
	// nextExchange and nextPull are the earliest times of the next answer to a
	// differing short digest and of the next pull after a detailed digest.
	nextExchange, nextPull time.Duration

	nextComparison time.Duration
	reader         bool
	// joined is true once a peer has answered a pull, or the node has stopped
	// waiting for one.
	joined       bool
	joinAttempts int
	ready        bool
	since        time.Duration
	// changed is true when the published snapshot is out of date.
	changed bool
}

func newEngine(cfg Config, now time.Duration) *engine {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Address))))
	cfg.Planner.Self, cfg.Planner.Domain = cfg.Address, cfg.Domain
	cfg.Spreader.Self = cfg.Address
	e := &engine{
		cfg: cfg, log: cfg.Log, random: random,
		planner:  watcher.NewPlanner(cfg.Planner, now, random.Float64()),
		spreader: spreader.New(cfg.Spreader, cfg.Seed),
		scopes:   make(map[string]watcher.Scope), addedInterest: make(map[string]bool),
		transferUntil: make(map[string]time.Duration),
		// Random jitter spreads the comparisons of nodes that start together
		// over the interval.
		nextComparison: now + time.Duration(random.Int64N(int64(comparisonInterval))),
		changed:        true,
	}
	e.table = watcher.NewTable(e.scope())
	e.view = e.catalogue.View()
	e.refresh(now)
	return e
}

// scope returns the scope of the instance records that this node needs.
func (e *engine) scope() watcher.Scope {
	s := watcher.Scope{Domain: e.cfg.Domain, Interest: map[string]bool{e.cfg.Service: true}, All: e.reader}
	for _, name := range e.view.Services[e.cfg.Service].Calls {
		s.Interest[name] = true
	}
	maps.Copy(s.Interest, e.addedInterest)
	return s
}

// interestOf encodes the services of a scope for an Interest message.
func interestOf(s watcher.Scope) []string {
	if s.All {
		return []string{allServices}
	}
	return slices.Sorted(maps.Keys(s.Interest))
}

// scopeOf decodes the scope of a peer from its domain and Interest message.
func scopeOf(domain string, interest []string) watcher.Scope {
	s := watcher.Scope{Domain: domain, Interest: make(map[string]bool)}
	for _, name := range interest {
		s.All = s.All || name == allServices
		s.Interest[name] = true
	}
	return s
}

// send appends a message to out; messages to the node itself are dropped.
func (e *engine) send(address string, m *encoder.Control) {
	if address != e.cfg.Address && address != "" {
		e.out = append(e.out, outgoing{address, m})
	}
}

// takeMessages returns the messages to send and clears the list.
func (e *engine) takeMessages() []outgoing {
	out := e.out
	e.out = nil
	return out
}

// tick starts the digest comparisons that are due and removes expired instance
// records. It returns the platform reads to start.
func (e *engine) tick(now time.Duration) []watcher.Read {
	e.spreader.Tick(now)
	if now >= e.nextComparison {
		e.nextComparison = now + comparisonInterval
		if t := e.table.Expire(now); t.Len() != e.table.Len() {
			e.table, e.changed = t, true
		}
		if e.joined {
			e.startComparison(e.spreader.Partner(now, e.peersSharingInterest(), e.planner.Readers()))
		} else {
			e.join(now)
		}
	}
	if e.announcePending {
		e.announcePending = false
		for _, p := range e.spreader.ReleasePeers("") {
			e.startComparison(p)
		}
	}
	e.refresh(now)
	return e.planner.Next(now, e.random.Float64)
}

// join pulls the whole catalogue and all instance records from one known peer.
// Without a known peer, or after the last attempt, the node counts as joined.
func (e *engine) join(now time.Duration) {
	peer := e.spreader.Partner(now, nil, nil)
	if peer == "" && !e.planner.ListAttempted() && e.joinAttempts < maxJoinAttempts {
		return // The list of the own domain, which names peers, has not been read yet.
	}
	if peer == "" || e.joinAttempts >= maxJoinAttempts {
		e.joined, e.changed = true, true
		return
	}
	e.joinAttempts++
	e.transferUntil[peer] = now + transferWindow
	e.send(peer, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: []string{allItems, allCells}}}})
}

// peersSharingInterest returns the peers with open links that share an interest
// with this node, or the known instances of its own service if there is no such
// peer. Besides readers, only these hold the records of other domains that the
// node needs.
func (e *engine) peersSharingInterest() []string {
	own := e.table.Scope()
	var out []string
	for a, s := range e.scopes {
		for name := range own.Interest {
			if s.All || s.Interest[name] {
				out = append(out, a)
				break
			}
		}
	}
	if len(out) == 0 {
		for _, i := range e.table.Service(e.cfg.Service) {
			out = append(out, i.Address)
		}
	}
	slices.Sort(out)
	return out
}

// refresh recomputes the members of the planner and of the spreader, the reader
// role, the scope and readiness after a change of the table or the view.
func (e *engine) refresh(now time.Duration) {
	if e.changed {
		domains := map[string]bool{e.cfg.Domain: true}
		for _, d := range e.table.Domains() {
			domains[d] = true
		}
		for d := range e.view.Domains {
			domains[d] = true
		}
		e.planner.SetMembers(e.table.Domain(e.cfg.Domain), slices.Sorted(maps.Keys(domains)), e.view.Number > 0)
	}
	if r := e.planner.IsReader(); r != e.reader {
		e.reader, e.changed = r, true
		e.log.Info("reader role changed", "Reader", r, "Domain", e.cfg.Domain)
	}
	if s, old := e.scope(), e.table.Scope(); s.All != old.All || !maps.Equal(s.Interest, old.Interest) {
		e.table, e.changed = e.table.WithScope(s), true
		for _, a := range slices.Sorted(maps.Keys(e.scopes)) {
			e.sendInterest(a)
		}
	}
	if e.changed {
		local := slices.Clone(e.cfg.Seeds)
		var remote []string
		for _, d := range e.table.Domains() {
			for _, i := range e.table.Domain(d) {
				switch {
				case i.State != watcher.StateLive:
				case d == e.cfg.Domain:
					local = append(local, i.Address)
				default:
					remote = append(remote, i.Address)
				}
			}
		}
		e.spreader.SetMembers(now, local, remote)
	}
	if !e.ready && e.joined && e.planner.ListAttempted() && (e.view.Number > 0 || e.planner.ReleaseUnavailable()) {
		e.ready, e.changed = true, true
		e.log.Info("ready", "Number", e.view.Number, "Instances", e.table.Len())
	}
}

// mergeItems merges items into the catalogue and returns those that changed it.
func (e *engine) mergeItems(now time.Duration, items []releaser.Item) []releaser.Item {
	c, changed := e.catalogue.With(items...)
	if len(changed) == 0 {
		return nil
	}
	e.catalogue, e.view, e.changed = c, c.View(), true
	if number, digest := c.HighestStamp(); number != 0 {
		e.since = now
		e.log.Info("note in force", "Number", number, "Digest", releaser.FormatDigest(digest), "Items", len(changed), "Conflicts", len(e.view.Conflicts), "Gaps", len(e.view.Gaps))
	}
	return changed
}

// push sends changes to the control peers, except to the peer they came from.
// Changes larger than maxPushBytes are announced by a digest instead.
func (e *engine) push(from string, items []releaser.Item, instances []watcher.Instance) {
	if len(items) == 0 && len(instances) == 0 {
		return
	}
	updates := make(map[string]*encoder.Update)
	update := func(address string) *encoder.Update {
		if updates[address] == nil {
			updates[address] = e.emptyUpdate()
		}
		return updates[address]
	}
	size := 0
	var messages []*encoder.ReleaseItem
	for _, i := range items {
		m := i.Encode()
		size += proto.Size(m)
		messages = append(messages, m)
	}
	records := make([]*encoder.Instance, len(instances))
	for k, i := range instances {
		records[k] = i.Encode()
		size += proto.Size(records[k])
	}
	if size > maxPushBytes {
		e.announcePending = true
		return
	}
	if len(messages) > 0 {
		for _, p := range e.spreader.ReleasePeers(from) {
			update(p).Items = messages
		}
	}
	for k, i := range instances {
		e.spreader.MarkSeen(spreader.Stamp(i))
		for _, p := range e.spreader.InstancePeers(from, watcher.Cell{Domain: i.Domain, Service: i.Service}, e.peerScope) {
			u := update(p)
			u.Instances = append(u.Instances, records[k])
		}
	}
	for _, p := range slices.Sorted(maps.Keys(updates)) {
		e.send(p, &encoder.Control{Message: &encoder.Control_Update{Update: updates[p]}})
	}
}

// emptyUpdate returns an update that carries only the stamp of the release note.
func (e *engine) emptyUpdate() *encoder.Update {
	number, digest := e.catalogue.HighestStamp()
	return &encoder.Update{NoteNumber: number, NoteDigest: digest}
}

// peerScope returns the scope of a peer, and false when it is unknown.
func (e *engine) peerScope(address string) (watcher.Scope, bool) {
	s, ok := e.scopes[address]
	return s, ok
}

// opened records the scope of a peer when a link to it opens. If the digest in
// the handshake shows that the catalogues differ, it starts a comparison.
func (e *engine) opened(now time.Duration, h *encoder.Hello) {
	address := h.GetIncarnation().GetAddress()
	e.scopes[address] = scopeOf(h.GetDomain(), h.GetInterest())
	e.planner.RecordMessage(now, address)
	if e.joined && h.GetCatalogueDigest() != e.catalogue.Digest() {
		e.startComparison(address)
	}
}

func (e *engine) closed(address string) {
	delete(e.scopes, address)
	delete(e.transferUntil, address)
}

// sendFailed records that a message could not be sent to a peer.
func (e *engine) sendFailed(now time.Duration, address string) {
	e.spreader.RecordFailure(now, address)
	if !e.joined {
		// The next tick asks another peer: a stale instance list may name many
		// stopped nodes, and each would otherwise cost a comparison interval.
		e.nextComparison = now
	}
}

// addInterest adds services to the interest of the node.
func (e *engine) addInterest(now time.Duration, services []string) {
	for _, s := range services {
		e.addedInterest[s] = true
	}
	e.refresh(now)
}
