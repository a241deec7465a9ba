package releaser

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/classifier"
	"crocustack/core/reporter"
)

// Service is a service and its limits.
type Service struct {
	Name string
	// Slots is the maximum number of requests in progress at one upstream.
	Slots int
	// Connections is the connection limit of one upstream.
	Connections int
	// Calls lists the services that this one calls.
	Calls []string
	// RetryRatio is the share of first attempts that may be retried.
	RetryRatio float64
	// QueueTime and QueueLength bound the admission queue of one upstream.
	QueueTime   time.Duration
	QueueLength int
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Predecessor identifies the note that the operator based a note on. Both
// fields are zero for the first note.
type Predecessor struct {
	Number, Digest uint64
}

// Section holds the items that a note adds or changes.
type Section struct {
	Services []Service
	Kinds    []classifier.Kind
	Domains  []Domain
}

// Withdrawal names the items that a note removes.
type Withdrawal struct {
	Services, Kinds, Domains []string
}

// Note is one release note.
type Note struct {
	Number         uint64
	Predecessor    Predecessor
	Added, Changed Section
	Withdrawn      Withdrawal
}

// MaxNumber is the highest note number. Up to it, numbers are exact in JSON
// consumers that use floating point.
const MaxNumber = 1 << 53

// ParseNote parses and checks a note in YAML. The result depends only on b. The
// error is a reporter.Findings, in which name is the file name.
func ParseNote(name string, b []byte) (Note, error) {
	var w noteWire
	c := reporter.Decode(name, b, &w)
	n := w.note(c, "")
	if err := c.Err(); err != nil {
		return Note{}, err
	}
	return n, nil
}

// Canonical returns the canonical JSON of the note, in which lists are sorted by
// name. It is also valid YAML, and ParseNote parses it into the same note.
func (n Note) Canonical() []byte { return mustMarshal(wireOfNote(n)) }

// clone returns a copy that shares no list of items with the note.
func (n Note) clone() Note {
	for _, s := range []*Section{&n.Added, &n.Changed} {
		s.Services, s.Kinds, s.Domains = slices.Clone(s.Services), slices.Clone(s.Kinds), slices.Clone(s.Domains)
	}
	w := &n.Withdrawn
	w.Services, w.Kinds, w.Domains = slices.Clone(w.Services), slices.Clone(w.Kinds), slices.Clone(w.Domains)
	return n
}

// Digest returns the hash of the canonical form.
func (n Note) Digest() uint64 { return xxhash.Sum64(n.Canonical()) }

// Stamp returns the stamp of all items of the note.
func (n Note) Stamp() Stamp { return Stamp{Number: n.Number, Digest: n.Digest()} }

// Items returns the items of the note, including the header that records the
// note itself.
func (n Note) Items() []Item {
	stamp := n.Stamp()
	var items []Item
	for _, s := range []Section{n.Added, n.Changed} {
		for _, v := range s.Services {
			items = append(items, Item{Name: servicePrefix + v.Name, Section: v.Name, Stamp: stamp, Value: string(mustMarshal(wireOfService(v)))})
		}
		for _, v := range s.Kinds {
			items = append(items, Item{Name: kindPrefix + v.Name, Section: v.Service, Stamp: stamp, Value: string(mustMarshal(wireOfKind(v)))})
		}
		for _, v := range s.Domains {
			items = append(items, Item{Name: domainPrefix + v.Name, Section: DomainsSection, Stamp: stamp, Value: string(mustMarshal(domainWire(v)))})
		}
	}
	for prefix, names := range map[string][]string{servicePrefix: n.Withdrawn.Services, kindPrefix: n.Withdrawn.Kinds, domainPrefix: n.Withdrawn.Domains} {
		for _, name := range names {
			items = append(items, Item{Name: prefix + name, Section: WithdrawnSection, Stamp: stamp, Withdrawn: true})
		}
	}
	items = append(items, header(stamp, n.Predecessor))
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	return items
}

// normalize sorts the lists of the note by name, as in the canonical form.
func (n *Note) normalize() {
	for _, s := range []*Section{&n.Added, &n.Changed} {
		slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(s.Kinds, func(a, b classifier.Kind) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(s.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	}
	slices.Sort(n.Withdrawn.Services)
	slices.Sort(n.Withdrawn.Kinds)
	slices.Sort(n.Withdrawn.Domains)
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // The wire types hold strings, integers and finite floats only.
	}
	return b
}

// FormatDigest returns a digest as 16 lower-case hexadecimal digits.
func FormatDigest(d uint64) string {
	s := strconv.FormatUint(d, 16)
	return "0000000000000000"[len(s):] + s
}

// ParseDigest is the inverse of FormatDigest.
func ParseDigest(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	d, err := strconv.ParseUint(s, 16, 64)
	return d, err == nil && FormatDigest(d) == s
}
