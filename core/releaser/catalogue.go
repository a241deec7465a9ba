package releaser

import (
	"cmp"
	"maps"
	"slices"

	"crocustack/core/classifier"
)

// HeaderWindow is the number of most recent note numbers whose headers are
// kept. At 1,300 notes a day it covers a network partition of one hour with a
// margin.
const HeaderWindow = 64

// Catalogue is the mergeable state of all releases. It is immutable and safe
// for concurrent use. Its With method is a join: commutative, associative and
// idempotent.
type Catalogue struct {
	items map[string]entry
	// sections holds the XOR of the hashes of each section's items, so that an
	// added or removed item costs one hash.
	sections map[string]uint64
	digest   uint64
	highest  Stamp
}

// entry holds an item and its decoded value, so that a view is built without
// decoding every item again after each change.
type entry struct {
	Item
	// value is a Service, classifier.Kind, Domain or Predecessor, or nil for a
	// tombstone.
	value any
}

// With joins items into the catalogue and returns those that changed it.
// Headers outside the window are dropped; the window only moves to higher
// numbers, so the result does not depend on the order of arrival.
func (c Catalogue) With(items ...Item) (Catalogue, []Item) {
	out := c
	changed := make(map[string]bool)
	for _, i := range items {
		old, ok := out.items[i.Name]
		if ok && i.compare(old.Item) <= 0 {
			continue
		}
		if i.Section == HeadersSection && !inWindow(i.Stamp.Number, out.highest.Number) {
			continue
		}
		if len(changed) == 0 {
			out.items, out.sections = maps.Clone(c.items), maps.Clone(c.sections)
			if out.items == nil {
				out.items, out.sections = make(map[string]entry), make(map[string]uint64)
			}
		}
		if ok {
			out.toggle(old.Item)
		}
		changed[i.Name] = true
		out.items[i.Name] = entry{i, i.parse()}
		out.toggle(i)
		if i.Stamp.Compare(out.highest) > 0 {
			out.highest = i.Stamp
		}
	}
	if out.highest.Number > c.highest.Number {
		for name, i := range out.items {
			if i.Section == HeadersSection && !inWindow(i.Stamp.Number, out.highest.Number) {
				out.toggle(i.Item)
				delete(out.items, name)
				delete(changed, name)
			}
		}
	}
	var list []Item
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		list = append(list, out.items[name].Item)
	}
	return out, list
}

func inWindow(number, highest uint64) bool { return number+HeaderWindow > highest }

// toggle adds an item to the digests, or removes it from them: both are the
// XOR with the item's hash.
func (c *Catalogue) toggle(i Item) {
	h := i.hash()
	c.digest ^= h
	c.sections[i.Section] ^= h
	if c.sections[i.Section] == 0 {
		delete(c.sections, i.Section)
	}
}

// Digest returns the digest of all items. Equal catalogues have equal digests.
func (c Catalogue) Digest() uint64 { return c.digest }

// Sections returns the digest of each section.
func (c Catalogue) Sections() map[string]uint64 { return maps.Clone(c.sections) }

// Section returns the items of a section, sorted by name.
func (c Catalogue) Section(name string) []Item {
	return c.filter(func(i Item) bool { return i.Section == name })
}

// Items returns all items, sorted by name.
func (c Catalogue) Items() []Item { return c.filter(func(Item) bool { return true }) }

// Item returns one item by name.
func (c Catalogue) Item(name string) (Item, bool) {
	e, ok := c.items[name]
	return e.Item, ok
}

func (c Catalogue) filter(keep func(Item) bool) []Item {
	var out []Item
	for _, i := range c.items {
		if keep(i.Item) {
			out = append(out, i.Item)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// HighestStamp returns the highest stamp of the items; both values are 0 for an
// empty catalogue.
func (c Catalogue) HighestStamp() (number, digest uint64) { return c.highest.Number, c.highest.Digest }

// Conflicts returns the stamps of concurrent notes, in order: all notes within
// the header window that share their number with another note.
func (c Catalogue) Conflicts() []Stamp {
	var out []Stamp
	headers := c.headers()
	for i, h := range headers {
		if (i > 0 && headers[i-1].Stamp.Number == h.Stamp.Number) || (i+1 < len(headers) && headers[i+1].Stamp.Number == h.Stamp.Number) {
			out = append(out, h.Stamp)
		}
	}
	return out
}

// Gaps returns the predecessors within the header window that notes refer to
// and whose headers the catalogue lacks, ordered by number and digest.
func (c Catalogue) Gaps() []Predecessor {
	missing := make(map[Predecessor]bool)
	for _, h := range c.headers() {
		p, _ := c.items[h.Name].value.(Predecessor)
		if p.Number == 0 || !inWindow(p.Number, c.highest.Number) {
			continue
		}
		if _, ok := c.items[headerPrefix+FormatDigest(p.Number)+FormatDigest(p.Digest)]; !ok {
			missing[p] = true
		}
	}
	return slices.SortedFunc(maps.Keys(missing), func(a, b Predecessor) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Digest, b.Digest))
	})
}

// headers returns the note headers ordered by stamp; fixed-width hexadecimal
// names sort that way.
func (c Catalogue) headers() []Item { return c.Section(HeadersSection) }

// View is a read-only index of a catalogue. Its maps must not be modified.
type View struct {
	Table    classifier.Table
	Services map[string]Service
	Kinds    map[string]classifier.Kind
	Domains  map[string]Domain
	// Number and Digest are the highest stamp of the catalogue.
	Number, Digest uint64
	// Conflicts lists concurrent notes, Gaps lists missing predecessors.
	Conflicts []Stamp
	Gaps      []Predecessor
}

// View builds the read-only index. It omits kinds whose service is withdrawn or
// unknown, because no instance answers their requests.
func (c Catalogue) View() View {
	v := View{
		Services: make(map[string]Service), Kinds: make(map[string]classifier.Kind), Domains: make(map[string]Domain),
		Number: c.highest.Number, Digest: c.highest.Digest, Conflicts: c.Conflicts(), Gaps: c.Gaps(),
	}
	for _, i := range c.items {
		switch x := i.value.(type) {
		case Service:
			v.Services[x.Name] = x
		case classifier.Kind:
			v.Kinds[x.Name] = x
		case Domain:
			v.Domains[x.Name] = x
		}
	}
	maps.DeleteFunc(v.Kinds, func(_ string, k classifier.Kind) bool {
		_, ok := v.Services[k.Service]
		return !ok
	})
	v.Table = classifier.NewTable(slices.Collect(maps.Values(v.Kinds)))
	return v
}
