package releaser

import (
	"bytes"
	"cmp"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"crocustack/core/encoder"
	"crocustack/core/reporter"
)

// An item name is one of these prefixes followed by the name of the service,
// kind or domain, or by the number and digest of the note.
const (
	servicePrefix = "service/"
	kindPrefix    = "kind/"
	domainPrefix  = "domain/"
	headerPrefix  = "note/"
)

// Sections that belong to no service. Service names contain no slash, so the
// names don't collide. Tombstones share one section because a note withdraws a
// kind by name and the service of that kind may be unknown to the receiver.
const (
	DomainsSection   = "domains/"
	HeadersSection   = "notes/"
	WithdrawnSection = "withdrawn/"
)

// Stamp orders the values of one item: by note number, then by note digest.
type Stamp struct {
	Number, Digest uint64
}

// Compare returns -1, 0 or 1.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.Number, t.Number), cmp.Compare(s.Digest, t.Digest))
}

// Item is the value of one service, kind, domain or note header, or the
// tombstone of one.
type Item struct {
	Name string
	// Section is the service that a service or kind item belongs to, or one of
	// DomainsSection, HeadersSection and WithdrawnSection. It is determined by
	// the other fields.
	Section   string
	Stamp     Stamp
	Withdrawn bool
	// Value is the canonical JSON of the item, empty when withdrawn.
	Value string
}

// compare defines a total order of the items of one name. Such items with equal
// stamps come from the same note and are equal; the other fields are compared
// only to keep the order total on corrupt input.
func (i Item) compare(j Item) int {
	c := i.Stamp.Compare(j.Stamp)
	if c == 0 && i.Withdrawn != j.Withdrawn {
		c = 1
		if j.Withdrawn {
			c = -1
		}
	}
	return cmp.Or(c, cmp.Compare(i.Value, j.Value))
}

func (i Item) hash() uint64 {
	b := make([]byte, 0, 64+len(i.Name)+len(i.Value))
	b = append(b, i.Name...)
	b = append(b, 0)
	b = append(b, FormatDigest(i.Stamp.Number)...)
	b = append(b, FormatDigest(i.Stamp.Digest)...)
	if i.Withdrawn {
		b = append(b, 1)
	}
	return xxhash.Sum64(append(b, i.Value...))
}

type headerWire struct {
	Predecessor predecessorWire `yaml:"Predecessor"`
}

// header returns the item that records a note and its predecessor.
func header(s Stamp, p Predecessor) Item {
	return Item{
		Name: headerPrefix + FormatDigest(s.Number) + FormatDigest(s.Digest), Section: HeadersSection, Stamp: s,
		Value: string(mustMarshal(headerWire{Predecessor: wireOfPredecessor(p)})),
	}
}

// Encode converts an item to its message.
func (i Item) Encode() *encoder.ReleaseItem {
	return &encoder.ReleaseItem{
		Name: i.Name, Service: i.Section, Withdrawn: i.Withdrawn, Value: []byte(i.Value),
		Stamp: &encoder.Stamp{Number: i.Stamp.Number, Digest: i.Stamp.Digest},
	}
}

// DecodeItem converts a message to an item. It applies the checks of ParseNote
// to the value, so that a faulty peer can't introduce a value that is invalid
// in a note.
func DecodeItem(m *encoder.ReleaseItem) (Item, error) {
	i := Item{
		Name: m.GetName(), Section: m.GetService(), Withdrawn: m.GetWithdrawn(), Value: string(m.GetValue()),
		Stamp: Stamp{Number: m.GetStamp().GetNumber(), Digest: m.GetStamp().GetDigest()},
	}
	return i, i.check()
}

// check verifies that name, section and value agree, and that the value is
// valid and in canonical form.
func (i Item) check() error {
	if i.Stamp.Number < 1 || i.Stamp.Number > MaxNumber {
		return errors.Newf("item %q: stamp number %d is out of range", i.Name, i.Stamp.Number)
	}
	var want Item
	c := reporter.NewCollector(i.Name)
	var err error
	switch prefix, name, _ := strings.Cut(i.Name, "/"); prefix + "/" {
	case servicePrefix:
		want, err = i.checkValue(c, name, func(b []byte) (string, string, any, error) {
			var w serviceWire
			err := unmarshalStrict(b, &w)
			v := w.service(c, "")
			return v.Name, v.Name, wireOfService(v), err
		})
	case kindPrefix:
		want, err = i.checkValue(c, name, func(b []byte) (string, string, any, error) {
			var w kindWire
			err := unmarshalStrict(b, &w)
			v := w.kind(c, "")
			return v.Name, v.Service, wireOfKind(v), err
		})
	case domainPrefix:
		want, err = i.checkValue(c, name, func(b []byte) (string, string, any, error) {
			var w domainWire
			err := unmarshalStrict(b, &w)
			return w.domain(c, "").Name, DomainsSection, w, err
		})
	case headerPrefix:
		var w headerWire
		err = unmarshalStrict([]byte(i.Value), &w)
		p := w.Predecessor.predecessor(c, "Predecessor.")
		if p.Number != i.Stamp.Number-1 {
			c.Addf("Predecessor.Number", "must be %d", i.Stamp.Number-1)
		}
		want = header(i.Stamp, p)
	default:
		return errors.Newf("item %q: unknown type", i.Name)
	}
	if err != nil {
		return errors.Wrapf(err, "item %q", i.Name)
	}
	if err := c.Err(); err != nil {
		return err
	}
	if i != want {
		return errors.Newf("item %q: not in canonical form", i.Name)
	}
	return nil
}

// checkValue returns the item that i must equal. parse decodes a value into its
// name, its section and its wire form; it is not called for a tombstone.
func (i Item) checkValue(c *reporter.Collector, name string, parse func([]byte) (string, string, any, error)) (Item, error) {
	if i.Withdrawn {
		checkName(c, "Name", name)
		return Item{Name: i.Name, Section: WithdrawnSection, Stamp: i.Stamp, Withdrawn: true}, nil
	}
	got, section, w, err := parse([]byte(i.Value))
	if err != nil {
		return Item{}, err
	}
	if c.Err() != nil {
		return Item{}, nil
	}
	if got != name {
		return Item{}, errors.Newf("value has another name, %q", got)
	}
	return Item{Name: i.Name, Section: section, Stamp: i.Stamp, Value: string(mustMarshal(w))}, nil
}

func unmarshalStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
