package releaser

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocustack/core/classifier"
	"crocustack/core/reporter"
)

// The wire types are the YAML and JSON forms. The order of their fields is the
// canonical order; changing it changes every digest. Their methods that take a
// collector convert them to the exported types and report faults; the parameter
// at is the path of the value in the document, as a prefix of its field names.

type noteWire struct {
	Number      uint64          `yaml:"Number"`
	Predecessor predecessorWire `yaml:"Predecessor"`
	Added       sectionWire     `yaml:"Added"`
	Changed     sectionWire     `yaml:"Changed"`
	Withdrawn   withdrawalWire  `yaml:"Withdrawn"`
}

type predecessorWire struct {
	Number uint64 `yaml:"Number"`
	Digest string `yaml:"Digest" json:",omitempty"`
}

type sectionWire struct {
	Services []serviceWire `yaml:"Services" json:",omitempty"`
	Kinds    []kindWire    `yaml:"Kinds" json:",omitempty"`
	Domains  []domainWire  `yaml:"Domains" json:",omitempty"`
}

type withdrawalWire struct {
	Services []string `yaml:"Services" json:",omitempty"`
	Kinds    []string `yaml:"Kinds" json:",omitempty"`
	Domains  []string `yaml:"Domains" json:",omitempty"`
}

type serviceWire struct {
	Name        string   `yaml:"Name"`
	Slots       int      `yaml:"Slots"`
	Connections int      `yaml:"Connections"`
	Calls       []string `yaml:"Calls" json:",omitempty"`
	RetryRatio  *float64 `yaml:"RetryRatio"`
	QueueTime   string   `yaml:"QueueTime"`
	QueueLength *int     `yaml:"QueueLength"`
}

type kindWire struct {
	Name       string   `yaml:"Name"`
	Service    string   `yaml:"Service"`
	Methods    []string `yaml:"Methods" json:",omitempty"`
	PathPrefix string   `yaml:"PathPrefix"`
	Class      string   `yaml:"Class"`
	Idempotent bool     `yaml:"Idempotent"`
	Ticket     string   `yaml:"Ticket"`
	Timeout    string   `yaml:"Timeout"`
	Allowance  *uint32  `yaml:"Allowance"`
}

type domainWire struct {
	Name   string `yaml:"Name"`
	Region string `yaml:"Region"`
}

// Defaults of optional fields. The canonical form contains them, so that a
// later change of a default does not change notes that are already active.
const (
	defaultRetryRatio  = 0.1
	defaultQueueTime   = 50 * time.Millisecond
	defaultQueueLength = 100
	defaultAllowance   = 3
	defaultTimeout     = 10 * time.Second
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	classes       = enumNames(classifier.ClassBulk, classifier.ClassCritical)
	ticketRules   = enumNames(classifier.TicketRuleNone, classifier.TicketRuleRequired)
)

func enumNames[E interface {
	~int
	String() string
}](first, last E) []string {
	var names []string
	for e := first; e <= last; e++ {
		names = append(names, e.String())
	}
	return names
}

func checkName(c *reporter.Collector, field, name string) {
	if !namePattern.MatchString(name) {
		c.Addf(field, "%q is not a name: use 1 to 63 lower case letters, digits and inner hyphens", name)
	}
}

func checkRange[T int | uint64 | uint32 | time.Duration | float64](c *reporter.Collector, field string, v, low, high T) {
	if v < low || v > high || v != v { // NaN is the value that differs from itself.
		c.Addf(field, "%v is out of range %v to %v", v, low, high)
	}
}

func parseDuration(c *reporter.Collector, field, s string, def, low, high time.Duration) time.Duration {
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.Addf(field, "%q is not a duration such as 50ms", s)
		return def
	}
	checkRange(c, field, d, low, high)
	return d
}

func parseEnum(c *reporter.Collector, field, s string, names []string) int {
	i := slices.Index(names, s)
	if i < 0 {
		c.Addf(field, "%q is not one of %s", s, strings.Join(names, ", "))
		return 0
	}
	return i
}

func orDefault[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

func (w serviceWire) service(c *reporter.Collector, at string) Service {
	checkName(c, at+"Name", w.Name)
	checkRange(c, at+"Slots", w.Slots, 1, 100_000)
	checkRange(c, at+"Connections", w.Connections, 1, 1_000_000)
	seen := make(map[string]bool)
	for i, call := range w.Calls {
		field := at + "Calls[" + strconv.Itoa(i) + "]"
		checkName(c, field, call)
		if seen[call] {
			c.Addf(field, "%q appears twice", call)
		}
		seen[call] = true
	}
	calls := slices.Clone(w.Calls)
	slices.Sort(calls)
	if len(calls) == 0 {
		calls = nil
	}
	ratio := orDefault(w.RetryRatio, defaultRetryRatio)
	checkRange(c, at+"RetryRatio", ratio, 0, 1)
	if math.Signbit(ratio) {
		ratio = 0 // -0 equals 0 but would have a different canonical form.
	}
	length := orDefault(w.QueueLength, defaultQueueLength)
	checkRange(c, at+"QueueLength", length, 0, 100_000)
	return Service{
		Name: w.Name, Slots: w.Slots, Connections: w.Connections, Calls: calls, RetryRatio: ratio,
		QueueTime:   parseDuration(c, at+"QueueTime", w.QueueTime, defaultQueueTime, time.Millisecond, 10*time.Second),
		QueueLength: length,
	}
}

func wireOfService(s Service) serviceWire {
	return serviceWire{
		Name: s.Name, Slots: s.Slots, Connections: s.Connections, Calls: s.Calls,
		RetryRatio: &s.RetryRatio, QueueTime: s.QueueTime.String(), QueueLength: &s.QueueLength,
	}
}

func (w kindWire) kind(c *reporter.Collector, at string) classifier.Kind {
	checkName(c, at+"Name", w.Name)
	checkName(c, at+"Service", w.Service)
	for i, m := range w.Methods {
		field := at + "Methods[" + strconv.Itoa(i) + "]"
		if !methodPattern.MatchString(m) {
			c.Addf(field, "%q is not an HTTP method in upper case", m)
		}
		if slices.Index(w.Methods, m) < i {
			c.Addf(field, "%q appears twice", m)
		}
	}
	methods := slices.Clone(w.Methods)
	slices.Sort(methods)
	if len(methods) == 0 {
		methods = nil
	}
	if !strings.HasPrefix(w.PathPrefix, "/") || len(w.PathPrefix) > 1024 {
		c.Addf(at+"PathPrefix", "%q must begin with / and have at most 1024 bytes", w.PathPrefix)
	}
	allowance := orDefault(w.Allowance, defaultAllowance)
	checkRange(c, at+"Allowance", allowance, 0, 100)
	ticket := w.Ticket
	if ticket == "" {
		ticket = classifier.TicketRuleNone.String()
	}
	return classifier.Kind{
		Name: w.Name, Service: w.Service, Methods: methods, PathPrefix: strings.ToValidUTF8(w.PathPrefix, "\uFFFD"),
		Class: classifier.Class(parseEnum(c, at+"Class", w.Class, classes)), Idempotent: w.Idempotent,
		Ticket:    classifier.TicketRule(parseEnum(c, at+"Ticket", ticket, ticketRules)),
		Timeout:   parseDuration(c, at+"Timeout", w.Timeout, defaultTimeout, time.Millisecond, 10*time.Minute),
		Allowance: allowance,
	}
}

func wireOfKind(k classifier.Kind) kindWire {
	return kindWire{
		Name: k.Name, Service: k.Service, Methods: k.Methods, PathPrefix: k.PathPrefix, Class: k.Class.String(),
		Idempotent: k.Idempotent, Ticket: k.Ticket.String(), Timeout: k.Timeout.String(), Allowance: &k.Allowance,
	}
}

func (w domainWire) domain(c *reporter.Collector, at string) Domain {
	checkName(c, at+"Name", w.Name)
	checkName(c, at+"Region", w.Region)
	return Domain(w)
}

func (w predecessorWire) predecessor(c *reporter.Collector, at string) Predecessor {
	if w.Number == 0 {
		if w.Digest != "" {
			c.Addf(at+"Digest", "must be absent when the predecessor's number is 0")
		}
		return Predecessor{}
	}
	d, ok := ParseDigest(w.Digest)
	if !ok {
		c.Addf(at+"Digest", "%q is not 16 hexadecimal digits in lower case", w.Digest)
	}
	return Predecessor{Number: w.Number, Digest: d}
}

func wireOfPredecessor(p Predecessor) predecessorWire {
	if p.Number == 0 {
		return predecessorWire{}
	}
	return predecessorWire{Number: p.Number, Digest: FormatDigest(p.Digest)}
}

func (w noteWire) note(c *reporter.Collector, at string) Note {
	checkRange(c, at+"Number", w.Number, 1, MaxNumber)
	if w.Predecessor.Number != w.Number-1 {
		c.Addf(at+"Predecessor.Number", "must be %d, one less than Number", w.Number-1)
	}
	n := Note{Number: w.Number, Predecessor: w.Predecessor.predecessor(c, at+"Predecessor.")}
	first := make(map[string]string)
	unique := func(item, field string) {
		if f, ok := first[item]; ok {
			c.Addf(field, "%s appears twice, first at %s", item, f)
			return
		}
		first[item] = field
	}
	section := func(name string, w sectionWire) (s Section) {
		at := at + name + "."
		for i, v := range w.Services {
			f := at + "Services[" + strconv.Itoa(i) + "]"
			s.Services = append(s.Services, v.service(c, f+"."))
			unique(servicePrefix+v.Name, f)
		}
		for i, v := range w.Kinds {
			f := at + "Kinds[" + strconv.Itoa(i) + "]"
			s.Kinds = append(s.Kinds, v.kind(c, f+"."))
			unique(kindPrefix+v.Name, f)
		}
		for i, v := range w.Domains {
			f := at + "Domains[" + strconv.Itoa(i) + "]"
			s.Domains = append(s.Domains, v.domain(c, f+"."))
			unique(domainPrefix+v.Name, f)
		}
		return s
	}
	n.Added, n.Changed = section("Added", w.Added), section("Changed", w.Changed)
	names := func(name, prefix string, list []string) []string {
		for i, v := range list {
			f := at + "Withdrawn." + name + "[" + strconv.Itoa(i) + "]"
			checkName(c, f, v)
			unique(prefix+v, f)
		}
		return append([]string(nil), list...)
	}
	n.Withdrawn = Withdrawal{
		Services: names("Services", servicePrefix, w.Withdrawn.Services),
		Kinds:    names("Kinds", kindPrefix, w.Withdrawn.Kinds),
		Domains:  names("Domains", domainPrefix, w.Withdrawn.Domains),
	}
	if len(first) == 0 {
		c.Addf(at+"Number", "the note adds, changes and withdraws nothing")
	}
	n.normalize()
	return n
}

func wireOfNote(n Note) noteWire {
	n = n.clone()
	n.normalize()
	section := func(s Section) (w sectionWire) {
		for _, v := range s.Services {
			w.Services = append(w.Services, wireOfService(v))
		}
		for _, v := range s.Kinds {
			w.Kinds = append(w.Kinds, wireOfKind(v))
		}
		for _, v := range s.Domains {
			w.Domains = append(w.Domains, domainWire(v))
		}
		return w
	}
	return noteWire{
		Number: n.Number, Predecessor: wireOfPredecessor(n.Predecessor),
		Added: section(n.Added), Changed: section(n.Changed), Withdrawn: withdrawalWire(n.Withdrawn),
	}
}
