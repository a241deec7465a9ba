package releaser

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"crocustack/core/reporter"
)

// MaxDocumentBytes is the size in bytes of the largest value that the platform
// stores.
const MaxDocumentBytes = 1 << 20

// documentWire is the value of the platform key release/current. Note and
// NoteDigest are absent from the document that a node serves, which holds only
// the catalogue.
type documentWire struct {
	Note       *noteWire  `yaml:"Note" json:",omitempty"`
	NoteDigest string     `yaml:"NoteDigest" json:",omitempty"`
	Catalogue  []itemWire `yaml:"Catalogue"`
}

// itemWire holds exactly one of Service, Kind, Domain and Header, or none of
// them for a tombstone.
type itemWire struct {
	Name      string       `yaml:"Name"`
	Number    uint64       `yaml:"Number"`
	Digest    string       `yaml:"Digest"`
	Withdrawn bool         `yaml:"Withdrawn" json:",omitempty"`
	Service   *serviceWire `yaml:"Service" json:",omitempty"`
	Kind      *kindWire    `yaml:"Kind" json:",omitempty"`
	Domain    *domainWire  `yaml:"Domain" json:",omitempty"`
	Header    *headerWire  `yaml:"Header" json:",omitempty"`
}

// Document returns the value of release/current in JSON, which is also valid
// YAML: the note, its digest and the resulting catalogue with the stamp of each
// item. For the zero note the document holds only the catalogue.
func Document(n Note, c Catalogue) []byte {
	var d documentWire
	if n.Number > 0 {
		c, _ = c.With(n.Items()...)
		w := wireOfNote(n)
		d.Note, d.NoteDigest = &w, FormatDigest(n.Digest())
	}
	for _, i := range c.Items() {
		w := itemWire{Name: i.Name, Number: i.Stamp.Number, Digest: FormatDigest(i.Stamp.Digest), Withdrawn: i.Withdrawn}
		if !i.Withdrawn {
			var v any
			switch i.Section {
			case HeadersSection:
				w.Header = &headerWire{}
				v = w.Header
			case DomainsSection:
				w.Domain = &domainWire{}
				v = w.Domain
			default:
				if len(i.Name) > len(kindPrefix) && i.Name[:len(kindPrefix)] == kindPrefix {
					w.Kind = &kindWire{}
					v = w.Kind
				} else {
					w.Service = &serviceWire{}
					v = w.Service
				}
			}
			mustUnmarshal(i.Value, v)
		}
		d.Catalogue = append(d.Catalogue, w)
	}
	b, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		panic(err) // The wire types hold strings, integers and finite floats only.
	}
	return append(b, '\n')
}

// ParseDocument parses the value of release/current. The returned catalogue
// always contains the items of the note. The note is zero when the document has
// none. The error is a reporter.Findings.
func ParseDocument(b []byte) (Note, Catalogue, error) {
	const name = "release/current"
	if len(b) > MaxDocumentBytes {
		return Note{}, Catalogue{}, reporter.Findings{{File: name, Message: "document exceeds the limit of " + strconv.Itoa(MaxDocumentBytes) + " bytes"}}
	}
	var d documentWire
	// The JSON decoder takes a tenth of the time and memory of the YAML parser,
	// but it accepts more input and reports no positions. Its result is used
	// only when rendering it gives the same bytes.
	if json.Unmarshal(b, &d) == nil {
		if n, c, err := d.parse(reporter.NewCollector(name)); err == nil && bytes.Equal(Document(n, c), b) {
			return n, c, nil
		}
	}
	d = documentWire{}
	return d.parse(reporter.Decode(name, b, &d))
}

func (d *documentWire) parse(c *reporter.Collector) (Note, Catalogue, error) {
	var n Note
	if d.Note != nil || d.NoteDigest != "" {
		n = d.parseNote(c)
	}
	seen := make(map[string]bool)
	items := make([]Item, 0, len(d.Catalogue))
	for k, w := range d.Catalogue {
		at := "Catalogue[" + strconv.Itoa(k) + "]"
		i := w.item(c, at+".")
		if seen[w.Name] {
			c.Addf(at+".Name", "%q appears twice", w.Name)
		}
		seen[w.Name] = true
		items = append(items, i)
	}
	if err := c.Err(); err != nil {
		return Note{}, Catalogue{}, err
	}
	if n.Number > 0 {
		items = append(items, n.Items()...)
	}
	catalogue, _ := Catalogue{}.With(items...)
	return n, catalogue, nil
}

func (d *documentWire) parseNote(c *reporter.Collector) Note {
	if d.Note == nil {
		c.Addf("Note", "is missing, but there is a NoteDigest")
		return Note{}
	}
	n := d.Note.note(c, "Note.")
	if got, ok := ParseDigest(d.NoteDigest); !ok || (c.Err() == nil && got != n.Digest()) {
		c.Addf("NoteDigest", "%q does not match the note, whose digest is %s", d.NoteDigest, FormatDigest(n.Digest()))
	}
	return n
}

func (w itemWire) item(c *reporter.Collector, at string) Item {
	i := Item{Name: w.Name, Stamp: Stamp{Number: w.Number}, Withdrawn: w.Withdrawn}
	var ok bool
	if i.Stamp.Digest, ok = ParseDigest(w.Digest); !ok {
		c.Addf(at+"Digest", "%q is not 16 hexadecimal digits in lower case", w.Digest)
	}
	values := 0
	if w.Service != nil {
		s := w.Service.service(c, at+"Service.")
		i.Section, i.Value = s.Name, string(mustMarshal(wireOfService(s)))
		values++
	}
	if w.Kind != nil {
		k := w.Kind.kind(c, at+"Kind.")
		i.Section, i.Value = k.Service, string(mustMarshal(wireOfKind(k)))
		values++
	}
	if w.Domain != nil {
		i.Section, i.Value = DomainsSection, string(mustMarshal(domainWire(w.Domain.domain(c, at+"Domain."))))
		values++
	}
	if w.Header != nil {
		i.Section = HeadersSection
		i.Value = string(mustMarshal(headerWire{Predecessor: wireOfPredecessor(w.Header.Predecessor.predecessor(c, at+"Header.Predecessor."))}))
		values++
	}
	if w.Withdrawn {
		i.Section = WithdrawnSection
	}
	if (values == 1) == w.Withdrawn || values > 1 {
		c.Addf(at+"Name", "exactly one of Withdrawn, Service, Kind, Domain and Header is needed")
		return i
	}
	if err := i.check(); err != nil {
		c.Addf(at+"Name", "%v", err)
	}
	return i
}

func mustUnmarshal(value string, v any) {
	if err := json.Unmarshal([]byte(value), v); err != nil {
		panic(err) // Items are checked before they enter a catalogue.
	}
}

// parse returns the decoded value of an item that passed check.
func (i Item) parse() any {
	c := reporter.NewCollector(i.Name)
	switch prefix, _, _ := strings.Cut(i.Name, "/"); {
	case i.Withdrawn:
	case prefix+"/" == servicePrefix:
		var w serviceWire
		mustUnmarshal(i.Value, &w)
		return w.service(c, "")
	case prefix+"/" == kindPrefix:
		var w kindWire
		mustUnmarshal(i.Value, &w)
		return w.kind(c, "")
	case prefix+"/" == domainPrefix:
		var w domainWire
		mustUnmarshal(i.Value, &w)
		return Domain(w)
	case prefix+"/" == headerPrefix:
		var w headerWire
		mustUnmarshal(i.Value, &w)
		return w.Predecessor.predecessor(c, "")
	}
	return nil
}
