package synchronizer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
	"crocustack/core/releaser"
	"crocustack/core/spreader"
	"crocustack/core/watcher"
)

// hashScope returns the hash of a scope. It is part of the digest of instance
// records, so that digests differ when one side holds an outdated scope of the
// other. Without it, if a node widens its scope and its Interest message is
// lost, its digest equals that of a peer that compares only the records of the
// old scope, and the node never receives the others.
func hashScope(s watcher.Scope) uint64 {
	return xxhash.Sum64String(s.Domain + "\x00" + strings.Join(interestOf(s), "\x00"))
}

// digest returns the short digest that starts a comparison. The digest of
// instance records covers the records in the scopes of both sides, so it is
// left out while the scope of the peer is unknown.
func (e *engine) digest(peer string) *encoder.Digest {
	number, _ := e.catalogue.HighestStamp()
	d := &encoder.Digest{Root: e.catalogue.Digest(), NoteNumber: number}
	if s, ok := e.scopes[peer]; ok {
		d.Sections = []*encoder.SectionDigest{{Name: allCells, Digest: e.table.Digest(s) ^ hashScope(s) ^ hashScope(e.table.Scope())}}
	}
	return d
}

// sendInterest sends the scope of this node to a peer.
func (e *engine) sendInterest(peer string) {
	e.send(peer, &encoder.Control{Message: &encoder.Control_Interest{Interest: &encoder.Interest{Services: interestOf(e.table.Scope())}}})
}

// startComparison sends the short digest to a peer.
func (e *engine) startComparison(peer string) {
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
	e.planner.RecordMessage(now, from)
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

// receiveUpdate merges the content of an update. Changes are pushed on to the
// control peers unless the update is a requested transfer.
func (e *engine) receiveUpdate(now time.Duration, from string, u *encoder.Update) {
	if !e.joined {
		// The first answer completes the join. A comparison with a reader follows
		// at once and finds what is still missing.
		e.joined, e.changed, e.nextComparison = true, true, now
	}
	var items []releaser.Item
	for _, m := range u.GetItems() {
		if old, ok := e.catalogue.Item(m.GetName()); ok {
			stamp := releaser.Stamp{Number: m.GetStamp().GetNumber(), Digest: m.GetStamp().GetDigest()}
			c := old.Stamp.Compare(stamp)
			if c > 0 || c == 0 && old.Value == string(m.GetValue()) && old.Withdrawn == m.GetWithdrawn() {
				continue // Not newer than the held item; skips decoding and validation.
			}
		}
		i, err := releaser.DecodeItem(m)
		if err != nil {
			e.log.Error(err, "item rejected", "Peer", from)
			continue
		}
		items = append(items, i)
	}
	changedItems := e.mergeItems(now, items)
	var held, forwarded []watcher.Instance
	for _, m := range u.GetInstances() {
		i, ok := watcher.DecodeInstance(m)
		if !ok {
			e.log.Info("instance record rejected", "Peer", from)
			continue
		}
		if e.table.Scope().Holds(watcher.Cell{Domain: i.Domain, Service: i.Service}) {
			held = append(held, i)
		} else if e.spreader.MarkSeen(spreader.Stamp(i)) {
			forwarded = append(forwarded, i)
		}
	}
	t, changed := e.table.With(now, held...)
	if len(changed) > 0 {
		e.table, e.changed = t, true
	}
	if until, ok := e.transferUntil[from]; ok && now < until {
		e.announcePending = e.announcePending || len(changedItems) > 0 || len(changed) > 0
	} else {
		delete(e.transferUntil, from)
		e.push(from, changedItems, append(changed, forwarded...))
	}
	// Records of gone instances are tombstones and not part of any digest. A
	// peer that missed one learns of it only when it sends the outdated record.
	reply := e.emptyUpdate()
	for _, i := range held {
		if newer, ok := e.table.Newer(i); ok {
			reply.Instances = append(reply.Instances, newer.Encode())
		}
	}
	if len(reply.Instances) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Update{Update: reply}})
	}
}

// receiveDigest handles the two forms of Digest: the short digest that starts a
// comparison, and the detailed digest, with the digests of sections and cells,
// that answers it.
func (e *engine) receiveDigest(now time.Duration, from string, d *encoder.Digest) {
	short := true
	var remoteCells *encoder.SectionDigest
	for _, s := range d.GetSections() {
		if s.GetName() == allCells {
			remoteCells = s
		} else {
			short = false
		}
	}
	if !short {
		e.receiveDetailedDigest(now, from, d)
		return
	}
	own := e.digest(from)
	sameItems := own.Root == d.GetRoot()
	sameCells := remoteCells == nil || len(own.Sections) == 0 || own.Sections[0].Digest == remoteCells.GetDigest()
	if sameItems && sameCells {
		// A reader answers an equal digest of other nodes, because the members
		// of its domain use the answer as a liveness signal. It doesn't answer
		// other readers: two readers would answer each other without end.
		if s, ok := e.scopes[from]; ok && e.reader && !s.All {
			e.sendDigest(from, own)
		}
		return
	}
	if now < e.nextExchange {
		return // Rate limit; a later comparison finds the difference again.
	}
	e.nextExchange = now + minExchangeInterval
	e.transferUntil[from] = now + transferWindow
	detail := &encoder.Digest{Root: own.Root, NoteNumber: own.NoteNumber, Sections: own.Sections}
	var pull []string
	if !sameItems {
		sections := e.catalogue.Sections()
		for _, name := range slices.Sorted(maps.Keys(sections)) {
			detail.Sections = append(detail.Sections, &encoder.SectionDigest{Name: name, Digest: sections[name]})
		}
		if len(sections) == 0 {
			pull = append(pull, allItems)
		}
	}
	if !sameCells {
		// The peer may hold an outdated scope of this node. If an Interest
		// message was lost, the two sides would otherwise not converge.
		e.sendInterest(from)
		cells := e.table.Cells(e.scopes[from])
		for _, c := range slices.SortedFunc(maps.Keys(cells), compareCells) {
			detail.Sections = append(detail.Sections, &encoder.SectionDigest{Name: cellName(c), Digest: cells[c]})
		}
		if len(cells) == 0 {
			pull = append(pull, allCells)
		}
	}
	if len(pull) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: pull}}})
	}
	if len(detail.Sections) > len(own.Sections) {
		e.sendDigest(from, detail)
	}
}

// receiveDetailedDigest pulls the sections and cells that differ and sends this
// node's content of them, so that one exchange leaves the merged state on both
// sides.
func (e *engine) receiveDetailedDigest(now time.Duration, from string, d *encoder.Digest) {
	sections := e.catalogue.Sections()
	cells := e.table.Cells(e.scopes[from])
	remote := make(map[string]uint64)
	hasItems, hasCells := false, false
	for _, s := range d.GetSections() {
		if s.GetName() == allCells {
			continue
		}
		remote[s.GetName()] = s.GetDigest()
		if strings.HasPrefix(s.GetName(), allCells) {
			hasCells = true
		} else {
			hasItems = true
		}
	}
	differing := make(map[string]bool)
	for name, digest := range remote {
		own, ok := sections[name]
		if c, isCell := parseCell(name); isCell {
			own, ok = cells[c]
		}
		if !ok || own != digest {
			differing[name] = true
		}
	}
	var pull []string
	if now >= e.nextPull && len(differing) > 0 {
		e.nextPull = now + minExchangeInterval
		e.transferUntil[from] = now + transferWindow
		pull = slices.Sorted(maps.Keys(differing))
	}
	if hasCells {
		e.sendInterest(from)
		for c := range cells {
			if _, ok := remote[cellName(c)]; !ok {
				differing[cellName(c)] = true
			}
		}
	}
	if hasItems {
		for name := range sections {
			if _, ok := remote[name]; !ok {
				differing[name] = true
			}
		}
	}
	if len(pull) > 0 {
		e.send(from, &encoder.Control{Message: &encoder.Control_Pull{Pull: &encoder.Pull{Sections: pull}}})
	}
	e.sendSections(from, slices.Sorted(maps.Keys(differing)), false)
}

// receivePull answers a pull with the content of the named sections and cells.
func (e *engine) receivePull(from string, p *encoder.Pull) {
	var names []string
	for _, name := range p.GetSections() {
		switch name {
		case allItems:
			names = append(names, slices.Sorted(maps.Keys(e.catalogue.Sections()))...)
		case allCells:
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

// sendSections sends the content of sections and cells, split into messages of
// about maxMessageBytes. With sendEmpty set it sends a message even when there is
// no content: an answer to a pull completes the join of the node that asked.
func (e *engine) sendSections(to string, names []string, sendEmpty bool) {
	u, size, sent := e.emptyUpdate(), 0, 0
	reserve := func(n int) {
		if size > 0 && size+n > maxMessageBytes {
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
				reserve(proto.Size(m))
				u.Instances = append(u.Instances, m)
			}
			continue
		}
		for _, i := range e.catalogue.Section(name) {
			m := i.Encode()
			reserve(proto.Size(m))
			u.Items = append(u.Items, m)
		}
	}
	if size > 0 || sendEmpty && sent == 0 {
		e.send(to, &encoder.Control{Message: &encoder.Control_Update{Update: u}})
	}
}

func cellName(c watcher.Cell) string { return allCells + c.Domain + "/" + c.Service }

func parseCell(name string) (watcher.Cell, bool) {
	rest, ok := strings.CutPrefix(name, allCells)
	if !ok {
		return watcher.Cell{}, false
	}
	d, s, ok := strings.Cut(rest, "/")
	return watcher.Cell{Domain: d, Service: s}, ok
}

func compareCells(a, b watcher.Cell) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service))
}
