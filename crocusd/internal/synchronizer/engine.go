package synchronizer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
		for _, p := range e.spreader.Releases("") {
			e.probe(p)
		}
	}
	e.refresh(now)
	return e.planner.Next(now, e.random.Float64)
}

// join asks one known peer for everything.
func (e *engine) join(now time.Duration) {
	peer := e.spreader.Partner(now, nil, nil)
	if peer == "" && !e.planner.Listed() && e.joinAttempts < joinAttempts {
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
	if !e.ready && e.joined && e.planner.Listed() && (e.view.Number > 0 || e.planner.ReleaseAbsent()) {
		e.ready, e.changed = true, true
		e.log.Info("ready", "Number", e.view.Number, "Instances", e.table.Len())
	}
}

// parsed is a decoded platform value.
type parsed struct {
	version   uint64
	domain    string // Set for an instance list.
	list      []watcher.Instance
	note      releaser.Note
	catalogue releaser.Catalogue
	err       error
}

// parse decodes a platform value. It takes tens of milliseconds for a large
// release, so the shell calls it without the lock.
func parse(key string, v watcher.Value) parsed {
	p := parsed{version: v.Version}
	if domain, ok := strings.CutPrefix(key, watcher.InstancesPrefix); ok {
		p.domain = domain
		p.list, p.err = watcher.ParseInstances(v.Bytes)
		return p
	}
	p.note, p.catalogue, p.err = releaser.ParseDocument(v.Bytes)
	return p
}

// done records the result of a platform read; p counts for a value only.
func (e *engine) done(now time.Duration, key string, result watcher.Result, p parsed) {
	e.planner.Done(now, key, result, p.version, e.random.Float64())
	e.changed = true
	switch {
	case result != watcher.ResultValue:
		e.refresh(now)
	case p.err != nil:
		e.log.Error(p.err, "platform value rejected", "Key", key, "Version", p.version)
	case p.domain != "":
		// The difference between two lists is news. The first list read is not:
		// all readers of a starting fleet have it.
		first := e.table.Complete(p.domain) == 0
		t, changed := e.table.WithList(now, p.domain, p.version, p.list)
		e.table = t
		e.refresh(now)
		if first {
			e.announce = e.announce || len(changed) > 0
			return
		}
		e.push("", nil, changed)
	default:
		e.log.V(1).Info("release read", "Number", p.note.Number, "Version", p.version)
		items := e.accept(now, p.catalogue.Items())
		e.refresh(now)
		e.push("", items, nil)
	}
}

// accept joins items into the catalogue and returns those that changed it.
func (e *engine) accept(now time.Duration, items []releaser.Item) []releaser.Item {
	c, changed := e.catalogue.With(items...)
	if len(changed) == 0 {
		return nil
	}
	e.catalogue, e.view, e.changed = c, c.View(), true
	if number, digest := c.Number(); number != 0 {
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
		for _, p := range e.spreader.Releases(from) {
			update(p).Items = messages
		}
	}
	for k, i := range instances {
		e.spreader.First(spreader.Stamp(i))
		for _, p := range e.spreader.Instances(from, watcher.Cell{Domain: i.Domain, Service: i.Service}, e.scopeOf) {
			u := update(p)
			u.Instances = append(u.Instances, records[k])
		}
	}
	for _, p := range slices.Sorted(maps.Keys(updates)) {
		e.send(p, &encoder.Control{Message: &encoder.Control_Update{Update: updates[p]}})
	}
}

func (e *engine) emptyUpdate() *encoder.Update {
	number, digest := e.catalogue.Number()
	return &encoder.Update{NoteNumber: number, NoteDigest: digest}
}

func (e *engine) scopeOf(address string) (watcher.Scope, bool) {
	s, ok := e.scopes[address]
	return s, ok
}

// hashScope makes digests of instance records differ when one side holds an
// outdated scope of the other. Without it a node that widened its scope and
// whose Interest was lost has the same digest as a peer that offers the records
// of the old scope only.
func hashScope(s watcher.Scope) uint64 {
	return xxhash.Sum64String(s.Domain + "\x00" + strings.Join(interestOf(s), "\x00"))
}

// digest returns the short digest that opens a comparison. The digest of
// instance records covers what both sides hold, so it is left out while the
// scope of the peer is unknown.
func (e *engine) digest(peer string) *encoder.Digest {
	number, _ := e.catalogue.Number()
	d := &encoder.Digest{Root: e.catalogue.Digest(), NoteNumber: number}
	if s, ok := e.scopes[peer]; ok {
		d.Sections = []*encoder.SectionDigest{{Name: everyCell, Digest: e.table.Digest(s) ^ hashScope(s) ^ hashScope(e.table.Scope())}}
	}
	return d
}

func (e *engine) sendInterest(peer string) {
	e.send(peer, &encoder.Control{Message: &encoder.Control_Interest{Interest: &encoder.Interest{Services: interestOf(e.table.Scope())}}})
}

func (e *engine) probe(peer string) {
	if peer == "" || peer == e.cfg.Address {
		return
	}
	e.sendDigest(peer, e.digest(peer))
}

func (e *engine) sendDigest(peer string, d *encoder.Digest) {
	e.send(peer, &encoder.Control{Message: &encoder.Control_Digest{Digest: d}})
}

// receive handles a message from a peer.
func (e *engine) receive(now time.Duration, from string, m *encoder.Control) {
	e.planner.Heard(now, from)
	switch m := m.GetMessage().(type) {
	case *encoder.Control_Interest:
		if s, ok := e.scopes[from]; ok {
			e.scopes[from] = scopeOf(s.Domain, m.Interest.GetServices())
		}
	case *encoder.Control_Update:
		e.receiveUpdate(now, from, m.Update)
	case *encoder.Control_Digest:
		e.receiveDigest(now, from, m.Digest)
	case *encoder.Control_Pull:
		e.receivePull(from, m.Pull)
	}
	e.refresh(now)
}

func (e *engine) receiveUpdate(now time.Duration, from string, u *encoder.Update) {
	if !e.joined {
		// The first answer ends the wait; what else is missing shows in the
		// comparison with a reader that follows at once.
		e.joined, e.changed, e.nextComparison = true, true, now
	}
	var items []releaser.Item
	for _, m := range u.GetItems() {
		if old, ok := e.catalogue.Item(m.GetName()); ok {
			stamp := releaser.Stamp{Number: m.GetStamp().GetNumber(), Digest: m.GetStamp().GetDigest()}
			c := old.Stamp.Compare(stamp)
			if c > 0 || c == 0 && old.Value == string(m.GetValue()) && old.Withdrawn == m.GetWithdrawn() {
				continue // Changes nothing, so it is not worth the checks.
			}
		}
		i, err := releaser.DecodeItem(m)
		if err != nil {
			e.log.Error(err, "item rejected", "Peer", from)
			continue
		}
		items = append(items, i)
	}
	news := e.accept(now, items)
	var held, passed []watcher.Instance
	for _, m := range u.GetInstances() {
		i, ok := watcher.DecodeInstance(m)
		if !ok {
			e.log.Info("instance record rejected", "Peer", from)
			continue
		}
		if e.table.Scope().Holds(watcher.Cell{Domain: i.Domain, Service: i.Service}) {
			held = append(held, i)
		} else if e.spreader.First(spreader.Stamp(i)) {
			passed = append(passed, i)
		}
	}
	t, changed := e.table.With(now, held...)
	if len(changed) > 0 {
		e.table, e.changed = t, true
	}
	if until, ok := e.expecting[from]; ok && now < until {
		e.announce = e.announce || len(news) > 0 || len(changed) > 0
	} else {
		delete(e.expecting, from)
		e.push(from, news, append(changed, passed...))
	}
	// Gone records have no digest, so a peer that missed one learns of it only
	// when it offers the outdated record.
	back := e.emptyUpdate()
	for _, i := range held {
		if newer, ok := e.table.Newer(i); ok {
			back.Instances = append(back.Instances, newer.Encode())
		}
	}
	if len(back.Instances) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Update{Update: back}})
	}
}

// receiveDigest handles the two forms of Digest: the short one that opens a
// comparison, and the list of sections and cells that answers it.
func (e *engine) receiveDigest(now time.Duration, from string, d *encoder.Digest) {
	short := true
	var theirCells *encoder.SectionDigest
	for _, s := range d.GetSections() {
		if s.GetName() == everyCell {
			theirCells = s
		} else {
			short = false
		}
	}
	if !short {
		e.receiveDetail(now, from, d)
		return
	}
	mine := e.digest(from)
	sameItems := mine.Root == d.GetRoot()
	sameCells := theirCells == nil || len(mine.Sections) == 0 || mine.Sections[0].Digest == theirCells.GetDigest()
	if sameItems && sameCells {
		// Readers answer other nodes, because the members of their domain need
		// to know that they live. They don't answer readers, whose answers
		// would be answered in turn without end.
		if s, ok := e.scopes[from]; ok && e.reader && !s.All {
			e.sendDigest(from, mine)
		}
		return
	}
	if now < e.nextExchange {
		return // The next comparison finds the difference again.
	}
	e.nextExchange = now + exchangePause
	e.expecting[from] = now + replyTime
	detail := &encoder.Digest{Root: mine.Root, NoteNumber: mine.NoteNumber, Sections: mine.Sections}
	var pull []string
	if !sameItems {
		sections := e.catalogue.Sections()
		for _, name := range slices.Sorted(maps.Keys(sections)) {
			detail.Sections = append(detail.Sections, &encoder.SectionDigest{Name: name, Digest: sections[name]})
		}
		if len(sections) == 0 {
			pull = append(pull, everyItem)
		}
	}
	if !sameCells {
		// The peer may hold an outdated scope of this node; a lost Interest
		// would otherwise keep both sides apart.
		e.sendInterest(from)
		cells := e.table.Cells(e.scopes[from])
		for _, c := range slices.SortedFunc(maps.Keys(cells), compareCells) {
			detail.Sections = append(detail.Sections, &encoder.SectionDigest{Name: cellName(c), Digest: cells[c]})
		}
		if len(cells) == 0 {
			pull = append(pull, everyCell)
		}
	}
	if len(pull) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: pull}}})
	}
	if len(detail.Sections) > len(mine.Sections) {
		e.sendDigest(from, detail)
	}
}

// receiveDetail pulls the sections and cells that differ and sends the own
// content of these, so that one exchange brings both sides to the join.
func (e *engine) receiveDetail(now time.Duration, from string, d *encoder.Digest) {
	sections := e.catalogue.Sections()
	cells := e.table.Cells(e.scopes[from])
	theirs := make(map[string]uint64)
	hasItems, hasCells := false, false
	for _, s := range d.GetSections() {
		if s.GetName() == everyCell {
			continue
		}
		theirs[s.GetName()] = s.GetDigest()
		if strings.HasPrefix(s.GetName(), everyCell) {
			hasCells = true
		} else {
			hasItems = true
		}
	}
	differ := make(map[string]bool)
	for name, digest := range theirs {
		mine, ok := sections[name]
		if c, isCell := parseCell(name); isCell {
			mine, ok = cells[c]
		}
		if !ok || mine != digest {
			differ[name] = true
		}
	}
	var pull []string
	if now >= e.nextPull && len(differ) > 0 {
		e.nextPull = now + exchangePause
		e.expecting[from] = now + replyTime
		pull = slices.Sorted(maps.Keys(differ))
	}
	if hasCells {
		e.sendInterest(from)
		for c := range cells {
			if _, ok := theirs[cellName(c)]; !ok {
				differ[cellName(c)] = true
			}
		}
	}
	if hasItems {
		for name := range sections {
			if _, ok := theirs[name]; !ok {
				differ[name] = true
			}
		}
	}
	if len(pull) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: pull}}})
	}
	e.sendSections(from, slices.Sorted(maps.Keys(differ)), false)
}

func (e *engine) receivePull(from string, p *encoder.Pull) {
	var names []string
	for _, name := range p.GetSections() {
		switch name {
		case everyItem:
			names = append(names, slices.Sorted(maps.Keys(e.catalogue.Sections()))...)
		case everyCell:
			for c := range e.table.Cells(e.scopes[from]) {
				names = append(names, cellName(c))
			}
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	e.sendSections(from, slices.Compact(names), true)
}

// sendSections sends the content of sections and cells, in several messages
// when it is large. An answer to a pull is sent even when it is empty, because
// a newcomer waits for it.
func (e *engine) sendSections(to string, names []string, always bool) {
	u, size, sent := e.emptyUpdate(), 0, 0
	flush := func(n int) {
		if size > 0 && size+n > maxMessage {
			e.send(to, &encoder.Control{Message: &encoder.Control_Update{Update: u}})
			u, size = e.emptyUpdate(), 0
			sent++
		}
		size += n
	}
	scope, known := e.scopes[to]
	for _, name := range names {
		if c, ok := parseCell(name); ok {
			if known && !scope.Holds(c) {
				continue
			}
			for _, i := range e.table.Records(c) {
				m := i.Encode()
				flush(proto.Size(m))
				u.Instances = append(u.Instances, m)
			}
			continue
		}
		for _, i := range e.catalogue.Section(name) {
			m := i.Encode()
			flush(proto.Size(m))
			u.Items = append(u.Items, m)
		}
	}
	if size > 0 || always && sent == 0 {
		e.send(to, &encoder.Control{Message: &encoder.Control_Update{Update: u}})
	}
}

func cellName(c watcher.Cell) string { return everyCell + c.Domain + "/" + c.Service }

func parseCell(name string) (watcher.Cell, bool) {
	rest, ok := strings.CutPrefix(name, everyCell)
	if !ok {
		return watcher.Cell{}, false
	}
	d, s, ok := strings.Cut(rest, "/")
	return watcher.Cell{Domain: d, Service: s}, ok
}

func compareCells(a, b watcher.Cell) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service))
}

// opened records the scope of a peer. The side that lacks items learns so from
// the digest in the handshake.
func (e *engine) opened(now time.Duration, h *encoder.Hello) {
	address := h.GetIncarnation().GetAddress()
	e.scopes[address] = scopeOf(h.GetDomain(), h.GetInterest())
	e.planner.Heard(now, address)
	if e.joined && h.GetCatalogueDigest() != e.catalogue.Digest() {
		e.probe(address)
	}
}

func (e *engine) closed(address string) {
	delete(e.scopes, address)
	delete(e.expecting, address)
}

func (e *engine) failed(now time.Duration, address string) {
	e.spreader.Fail(now, address)
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
