package synchronizer

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/encoder"
	"crocustack/core/releaser"
	"crocustack/core/watcher"
)

// fleet runs engines in virtual time over a network that delays, reorders and
// drops messages and can be partitioned between domains.
type fleet struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Duration
	nodes    []*node
	links    map[[2]int]bool
	inFlight []inFlightMessage
	loss     float64
	group    map[string]int // Domains in different groups can't reach each other.
	values   map[string][]watcher.Value
	stale    map[string]int // The number of versions by which reads of a domain lag.
	down     map[string]bool
	starts   uint64
	sent     int
}

type node struct {
	engine         *engine
	reads          []watcher.Read
	watchDeadlines map[string]time.Duration
	stamps         map[string]releaser.Stamp
}

type inFlightMessage struct {
	at       time.Duration // The time of delivery.
	from, to int
	m        *encoder.Control
}

const perDomain = 3

var domains = []string{"d0", "d1", "d2"}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), links: make(map[[2]int]bool),
		group: make(map[string]int), values: make(map[string][]watcher.Value), stale: make(map[string]int), down: make(map[string]bool),
	}
	for k, d := range domains {
		f.publishList(k, func(int) bool { return true })
		f.group[d] = 0
	}
	for k := range perDomain * len(domains) {
		f.nodes = append(f.nodes, nil)
		f.restart(k)
	}
	return f
}

func address(k int) string { return fmt.Sprintf("10.0.0.%d:7", k) }

// publishList publishes the instances of a domain that keep accepts.
func (f *fleet) publishList(domain int, keep func(member int) bool) {
	list := []map[string]string{}
	for m := range perDomain {
		if keep(m) {
			list = append(list, map[string]string{"Service": fmt.Sprint("s", m%2), "Address": address(domain*perDomain + m), "Domain": domains[domain], "Region": "r", "State": "Live"})
		}
	}
	b, _ := json.Marshal(list)
	f.put(watcher.InstancesPrefix+domains[domain], b)
}

func (f *fleet) put(key string, b []byte) {
	f.values[key] = append(f.values[key], watcher.Value{Bytes: b, Version: uint64(len(f.values[key]) + 1)})
}

func (f *fleet) restart(k int) {
	f.starts++
	for _, pair := range f.pairs() {
		if pair[0] == k || pair[1] == k {
			f.unlink(pair)
		}
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(x inFlightMessage) bool { return x.to == k || x.from == k })
	cfg := Config{Service: fmt.Sprint("s", k%perDomain%2), Address: address(k), Domain: domains[k/perDomain], Seed: f.starts, Log: logr.Discard()}
	cfg.Planner.FleetSize = 1000
	f.nodes[k] = &node{engine: newEngine(cfg, f.now), watchDeadlines: make(map[string]time.Duration), stamps: make(map[string]releaser.Stamp)}
}

func (f *fleet) pairs() [][2]int {
	return slices.SortedFunc(maps.Keys(f.links), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
}

func (f *fleet) unlink(pair [2]int) {
	delete(f.links, pair)
	f.nodes[pair[0]].engine.closed(address(pair[1]))
	f.nodes[pair[1]].engine.closed(address(pair[0]))
}

func (f *fleet) reachable(a, b int) bool {
	return f.group[domains[a/perDomain]] == f.group[domains[b/perDomain]]
}

func (f *fleet) partition(groups []int) {
	for k, d := range domains {
		f.group[d] = groups[k]
	}
	for _, pair := range f.pairs() {
		if !f.reachable(pair[0], pair[1]) {
			f.unlink(pair)
		}
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(x inFlightMessage) bool { return !f.reachable(x.from, x.to) })
}

func (f *fleet) send(k int) {
	for _, o := range f.nodes[k].engine.takeMessages() {
		var to int
		if _, err := fmt.Sscanf(o.address, "10.0.0.%d:7", &to); err != nil || !f.reachable(k, to) {
			f.nodes[k].engine.sendFailed(f.now, o.address)
			continue
		}
		if pair := [2]int{min(k, to), max(k, to)}; !f.links[pair] {
			f.links[pair] = true
			for _, p := range [][2]int{{k, to}, {to, k}} {
				e := f.nodes[p[1]].engine
				f.nodes[p[0]].engine.opened(f.now, &encoder.Hello{
					Incarnation: &encoder.Incarnation{Address: address(p[1])}, Domain: e.cfg.Domain, CatalogueDigest: e.catalogue.Digest(), Interest: interestOf(e.table.Scope()),
				})
			}
		}
		f.sent++
		if f.random.Float64() >= f.loss {
			f.inFlight = append(f.inFlight, inFlightMessage{f.now + time.Duration(f.random.IntN(30))*time.Millisecond, k, to, o.message})
		}
	}
}

// answerRead answers a read, or returns false while a watch has to wait.
func (f *fleet) answerRead(n *node, r watcher.Read) bool {
	domain := n.engine.cfg.Domain
	if f.down[domain] {
		n.engine.recordResult(f.now, r.Key, watcher.ResultFailed, platformValue{})
		return true
	}
	vs := f.values[r.Key]
	vs = vs[:max(len(vs)-f.stale[domain], min(len(vs), 1))]
	switch {
	case len(vs) == 0:
		n.engine.recordResult(f.now, r.Key, watcher.ResultMissing, platformValue{})
	case vs[len(vs)-1].Version > r.After:
		n.engine.recordResult(f.now, r.Key, watcher.ResultValue, parseValue(r.Key, vs[len(vs)-1]))
	case f.now >= n.watchDeadlines[r.Key]:
		n.engine.recordResult(f.now, r.Key, watcher.ResultUnchanged, platformValue{})
	default:
		return false
	}
	return true
}

// run advances virtual time and checks after each step that no stamp of a
// catalogue item decreases.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for k, n := range f.nodes {
			n.reads = slices.DeleteFunc(n.reads, func(r watcher.Read) bool { return f.answerRead(n, r) })
			for _, r := range n.engine.tick(f.now) {
				n.watchDeadlines[r.Key] = f.now + r.Wait
				n.reads = append(n.reads, r)
			}
			n.engine.changed = false
			f.send(k)
		}
		due := f.inFlight
		f.inFlight = nil
		f.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, x := range due {
			if x.at > f.now {
				f.inFlight = append(f.inFlight, x)
				continue
			}
			f.nodes[x.to].engine.receive(f.now, address(x.from), x.m)
			f.send(x.to)
		}
		for k, n := range f.nodes {
			for _, i := range n.engine.catalogue.Items() {
				if old, ok := n.stamps[i.Name]; ok && i.Stamp.Compare(old) < 0 {
					f.t.Fatalf("node %d: stamp of %s decreased from %v to %v", k, i.Name, old, i.Stamp)
				}
				n.stamps[i.Name] = i.Stamp
			}
		}
	}
}

// findDifference compares all nodes of each group and returns a description of
// the first difference or of the first node that is not ready, or "".
func (f *fleet) findDifference() string {
	for k, n := range f.nodes {
		for j, m := range f.nodes[:k] {
			if !f.reachable(j, k) {
				continue
			}
			if d := cmp.Diff(m.engine.catalogue.Items(), n.engine.catalogue.Items()); d != "" {
				return fmt.Sprintf("nodes %d and %d hold different catalogues:\n%s", j, k, d)
			}
			a, b := m.engine.table, n.engine.table
			if a.Digest(b.Scope()) != b.Digest(a.Scope()) {
				return fmt.Sprintf("nodes %d and %d hold different instances: %v, %v", j, k, a.Cells(b.Scope()), b.Cells(a.Scope()))
			}
		}
		if !n.engine.ready {
			return fmt.Sprintf("node %d is not ready", k)
		}
	}
	return ""
}

// TestConvergence guards against nodes whose catalogues or instance tables stay
// different after lost messages, partitions, restarts, concurrent or overwritten
// notes, gaps between notes, and a platform that is stale or down. It draws a
// sequence of these faults, ends the losses and outages, and expects all nodes
// that can reach each other to agree within 60 s. Stamps must never decrease.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss")
		known := releaser.Catalogue{}
		number := uint64(1)
		publish := func(number uint64) {
			n := releaser.Note{Number: number, Withdrawn: releaser.Withdrawal{Kinds: []string{"k0"}}}
			if number > 1 {
				n.Predecessor = releaser.Predecessor{Number: number - 1, Digest: rapid.Uint64Range(1, 2).Draw(t, "predecessor")}
			}
			if rapid.Bool().Draw(t, "adds") {
				n.Withdrawn.Kinds = nil
				n.Added.Services = []releaser.Service{{Name: "s0", Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Connections: 1, QueueTime: time.Millisecond, Calls: []string{"s1"}}}
			}
			for _, d := range domains {
				n.Added.Domains = append(n.Added.Domains, releaser.Domain{Name: d, Region: "r"})
			}
			c := known
			if rapid.Bool().Draw(t, "gap") {
				c = releaser.Catalogue{} // Rendered from an empty catalogue.
			} else {
				known, _ = known.With(n.Items()...)
			}
			f.put(watcher.ReleaseKey, releaser.Document(n, c))
		}
		publish(1)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				number++
				publish(number)
			case 2:
				publish(number) // Overwrites the last note or conflicts with it.
			case 3:
				f.partition(rapid.SliceOfN(rapid.IntRange(0, 1), len(domains), len(domains)).Draw(t, "groups"))
			case 4:
				f.restart(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "restarted"))
			case 5:
				d := rapid.SampledFrom(domains).Draw(t, "domain")
				f.stale[d], f.down[d] = rapid.IntRange(0, 2).Draw(t, "behind"), rapid.Bool().Draw(t, "down")
			case 6:
				gone := rapid.IntRange(0, perDomain).Draw(t, "gone")
				f.publishList(rapid.IntRange(0, len(domains)-1).Draw(t, "list"), func(m int) bool { return m != gone })
			case 7:
				f.restart(0)
				f.restart(1)
				f.restart(2)
			}
			f.run(time.Duration(rapid.IntRange(0, 80).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		f.loss = 0
		clear(f.down)
		for k := 0; f.findDifference() != ""; k++ {
			if k == 30 {
				t.Fatal(f.findDifference())
			}
			f.run(2 * time.Second)
		}
	})
}

// TestSteadyStateTraffic guards against messages that are answered without end,
// as when two readers answer each other's equal digests. Nodes that agree send
// one digest a second each, and only readers answer.
func TestSteadyStateTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		n := releaser.Note{Number: 1}
		for _, d := range domains {
			n.Added.Domains = append(n.Added.Domains, releaser.Domain{Name: d, Region: "r"})
		}
		f.put(watcher.ReleaseKey, releaser.Document(n, releaser.Catalogue{}))
		f.run(20 * time.Second)
		if d := f.findDifference(); d != "" {
			t.Fatal(d)
		}
		f.sent = 0
		f.run(10 * time.Second)
		if limit := 2 * 10 * len(f.nodes); f.sent > limit || f.sent < limit/2 {
			t.Fatalf("%d messages in 10 s, at most %d expected", f.sent, limit)
		}
	})
}
