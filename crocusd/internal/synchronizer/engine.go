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
	// comparisonInterval is the time between two comparisons of digests.
	comparisonInterval = time.Second
	// maxPush is the size up to which news are sent to peers unasked. Larger
	// news, such as a whole catalogue received by a newcomer, are announced by
	// a digest, so that only peers that lack them ask for them.
	maxPush = 16 << 10
	// maxMessage is the size at which replies to a pull are split.
	maxMessage = 64 << 10
	// exchangePause bounds how often a node answers a differing digest with the
	// digests of its sections and cells, about 10 KB at full scale. When a whole
	// fleet starts, every comparison finds a difference.
	exchangePause = 250 * time.Millisecond
	// replyTime is the time after a pull or an answered digest during which
	// updates from that peer count as transfers rather than news.
	replyTime = 2 * time.Second
	// joinAttempts is the number of unanswered pulls after which a newcomer
	// stops waiting for peers; each has one comparison interval to be answered.
	joinAttempts = 3
)

// Names in Digest and Pull besides the names of sections and cells.
const (
	everyItem  = "*"          // In Pull: the whole catalogue.
	everyCell  = "instances/" // All instance records that both sides hold.
	everything = "*"          // In Interest: records of all services.
)

type outgoing struct {
	address string
	message *encoder.Control
}

// engine makes the decisions of one node. It has no goroutines and no clock;
// messages to send collect in out. It is not safe for concurrent use.
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
	// wanted holds the services that the node asked for at run time.
	wanted map[string]bool
	out    []outgoing
	// expecting holds, for each peer that was asked for records, the time until
	// which its updates count as transfers.
	expecting map[string]time.Duration
	// announce is true when something was learned that is not pushed; the next
	// tick sends a short digest to the control peers.
	announce bool
	// nextExchange and nextPull are the times of the next exchange that a
	// differing digest or a list of sections may start.
	nextExchange, nextPull time.Duration

	nextComparison time.Duration
	reader         bool
	// joined is true once a peer answered a pull, or none could be reached.
	joined       bool
	joinAttempts int
	ready        bool
	since        time.Duration
	// changed is true when the snapshot is out of date.
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
		scopes:   make(map[string]watcher.Scope), wanted: make(map[string]bool),
		expecting: make(map[string]time.Duration),
		// Nodes that start together spread their comparisons over the interval.
		nextComparison: now + time.Duration(random.Int64N(int64(comparisonInterval))),
		changed:        true,
	}
	e.table = watcher.NewTable(e.scope())
	e.view = e.catalogue.View()
	e.refresh(now)
	return e
}

// scope returns the instance records that this node holds.
func (e *engine) scope() watcher.Scope {
	s := watcher.Scope{Domain: e.cfg.Domain, Interest: map[string]bool{e.cfg.Service: true}, All: e.reader}
	for _, name := range e.view.Services[e.cfg.Service].Calls {
		s.Interest[name] = true
	}
	maps.Copy(s.Interest, e.wanted)
	return s
}

func interestOf(s watcher.Scope) []string {
	if s.All {
		return []string{everything}
	}
	return slices.Sorted(maps.Keys(s.Interest))
}

func scopeOf(domain string, interest []string) watcher.Scope {
	s := watcher.Scope{Domain: domain, Interest: make(map[string]bool)}
	for _, name := range interest {
		s.All = s.All || name == everything
		s.Interest[name] = true
	}
	return s
}

func (e *engine) send(address string, m *encoder.Control) {
	if address != e.cfg.Address && address != "" {
		e.out = append(e.out, outgoing{address, m})
	}
}

// drain returns the messages to send and forgets them.
func (e *engine) drain() []outgoing {
	out := e.out
	e.out = nil
	return out
}

// tick starts comparisons and removes what is out of date. It returns the
// platform reads to start.
func (e *engine) tick(now time.Duration) []watcher.Read {
	e.spreader.Tick(now)
	if now >= e.nextComparison {
		e.nextComparison = now + comparisonInterval
		if t := e.table.Expire(now); t.Len() != e.table.Len() {
			e.table, e.changed = t, true
		}
		if e.joined {
			e.probe(e.spreader.Partner(now, e.sharing(), e.planner.Readers()))
		} else {
			e.join(now)
		}
	}
	if e.announce {
		e.announce = false
		for _, p := range e.spreader.ReleasePeers("") {
			e.probe(p)
		}
	}
	e.refresh(now)
	return e.planner.Next(now, e.random.Float64)
}

// join asks one known peer for everything.
func (e *engine) join(now time.Duration) {
	peer := e.spreader.Partner(now, nil, nil)
	if peer == "" && !e.planner.ListAttempted() && e.joinAttempts < joinAttempts {
		return // The own domain's list, which names peers, is still being read.
	}
	if peer == "" || e.joinAttempts >= joinAttempts {
		e.joined, e.changed = true, true
		return
	}
	e.joinAttempts++
	e.expecting[peer] = now + replyTime
	e.send(peer, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: []string{everyItem, everyCell}}}})
}

// sharing returns the peers with open links, or else known instances, that
// share an interest with this node: besides readers, only these hold the
// records of other domains that it needs.
func (e *engine) sharing() []string {
	mine := e.table.Scope()
	var out []string
	for a, s := range e.scopes {
		for name := range mine.Interest {
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

// refresh recomputes what follows from the table and the view.
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
		e.log.Info("reader role", "Reader", r, "Domain", e.cfg.Domain)
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

// accept joins items into the catalogue and returns those that changed it.
func (e *engine) accept(now time.Duration, items []releaser.Item) []releaser.Item {
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

// push sends news to the control peers, except to the peer they came from.
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
	if size > maxPush {
		e.announce = true
		return
	}
	if len(messages) > 0 {
		for _, p := range e.spreader.ReleasePeers(from) {
			update(p).Items = messages
		}
	}
	for k, i := range instances {
		e.spreader.MarkSeen(spreader.Stamp(i))
		for _, p := range e.spreader.InstancePeers(from, watcher.Cell{Domain: i.Domain, Service: i.Service}, e.scopeOf) {
			u := update(p)
			u.Instances = append(u.Instances, records[k])
		}
	}
	for _, p := range slices.Sorted(maps.Keys(updates)) {
		e.send(p, &encoder.Control{Message: &encoder.Control_Update{Update: updates[p]}})
	}
}

func (e *engine) emptyUpdate() *encoder.Update {
	number, digest := e.catalogue.HighestStamp()
	return &encoder.Update{NoteNumber: number, NoteDigest: digest}
}

func (e *engine) scopeOf(address string) (watcher.Scope, bool) {
	s, ok := e.scopes[address]
	return s, ok
}

// opened records the scope of a peer. The side that lacks items learns so from
// the digest in the handshake.
func (e *engine) opened(now time.Duration, h *encoder.Hello) {
	address := h.GetIncarnation().GetAddress()
	e.scopes[address] = scopeOf(h.GetDomain(), h.GetInterest())
	e.planner.RecordMessage(now, address)
	if e.joined && h.GetCatalogueDigest() != e.catalogue.Digest() {
		e.probe(address)
	}
}

func (e *engine) closed(address string) {
	delete(e.scopes, address)
	delete(e.expecting, address)
}

func (e *engine) failed(now time.Duration, address string) {
	e.spreader.RecordFailure(now, address)
	if !e.joined {
		// Another peer is asked at once; a stale list may name many dead ones.
		e.nextComparison = now
	}
}

func (e *engine) want(now time.Duration, services []string) {
	for _, s := range services {
		e.wanted[s] = true
	}
	e.refresh(now)
}
