package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/classifier"
	"crocustack/core/releaser"
	"crocustack/core/spreader"
	"crocustack/core/watcher"
	"crocustack/crocusd/internal/synchronizer"
)

// Options describes a fleet.
type Options struct {
	Nodes, Domains, Services int
	// ForwardAll sends instance records to all control peers regardless of scope.
	ForwardAll bool
}

// Fleet is a set of synchronizers with their network and platform.
type Fleet struct {
	Network  *Network
	Platform *Platform

	opts      Options
	nodes     []*Node
	note      releaser.Note
	catalogue releaser.Catalogue
	unlisted  map[int]bool
	boots     atomic.Uint64
}

// Node is a node of a fleet. Each start of the node creates a new synchronizer.
type Node struct {
	Sync                     *synchronizer.Synchronizer
	address, service, domain string
	stop                     func()
}

// NewFleet returns a fleet with a published release and published instance
// lists. No node is started.
func NewFleet(o Options) *Fleet {
	f := &Fleet{Network: NewNetwork(), Platform: NewPlatform(), opts: o, unlisted: make(map[int]bool)}
	n := releaser.Note{Number: 1}
	for s := range o.Services {
		name := fmt.Sprint("service-", s)
		v := releaser.Service{Name: name, Slots: 160, Connections: 1000, RetryRatio: 0.1, QueueTime: 50 * time.Millisecond, QueueLength: 100}
		for k := 1; k <= 3 && s+k < o.Services; k++ {
			v.Calls = append(v.Calls, fmt.Sprint("service-", s+k))
		}
		slices.Sort(v.Calls)
		n.Added.Services = append(n.Added.Services, v)
		for k := range 3 {
			n.Added.Kinds = append(n.Added.Kinds, classifier.Kind{
				Name: fmt.Sprintf("%s-kind-%d", name, k), Service: name, PathPrefix: fmt.Sprint("/", k),
				Class: classifier.Class(k), Timeout: time.Second, Allowance: 3,
			})
		}
	}
	for d := range o.Domains {
		n.Added.Domains = append(n.Added.Domains, releaser.Domain{Name: domainName(d), Region: "region"})
	}
	f.publish(n)
	for i := range o.Nodes {
		f.nodes = append(f.nodes, &Node{
			address: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), service: fmt.Sprint("service-", i/o.Domains%o.Services), domain: domainName(i % o.Domains),
		})
	}
	for d := range o.Domains {
		f.publishList(d)
	}
	return f
}

func domainName(d int) string { return fmt.Sprint("domain-", d) }

func (f *Fleet) publish(n releaser.Note) {
	f.note = n
	f.catalogue, _ = f.catalogue.With(n.Items()...)
	f.Platform.Put(watcher.ReleaseKey, releaser.Document(n, f.catalogue))
}

// PublishNote publishes a note that changes the limits of one service, and
// returns its number.
func (f *Fleet) PublishNote() uint64 {
	s := f.catalogue.View().Services["service-0"]
	s.Slots = 100 + int(f.note.Number)
	f.publish(releaser.Note{
		Number: f.note.Number + 1, Predecessor: releaser.Predecessor{Number: f.note.Number, Digest: f.note.Digest()},
		Changed: releaser.Section{Services: []releaser.Service{s}},
	})
	return f.note.Number
}

func (f *Fleet) publishList(domain int) {
	list := []map[string]string{}
	for i, n := range f.nodes {
		if i%f.opts.Domains == domain && !f.unlisted[i] {
			list = append(list, map[string]string{"Service": n.service, "Address": n.address, "Domain": n.domain, "Region": "region", "State": "Live"})
		}
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err) // Unreachable: the list holds only strings.
	}
	f.Platform.Put(watcher.InstancesPrefix+domainName(domain), b)
}

// SetListed publishes the instance list of a node's domain with or without the
// node.
func (f *Fleet) SetListed(i int, listed bool) {
	f.unlisted[i] = !listed
	f.publishList(i % f.opts.Domains)
}

// Start starts the nodes for which which returns true. Those that already run
// are stopped first and lose their state.
func (f *Fleet) Start(selected func(i int) bool) {
	var stopping sync.WaitGroup
	for i, n := range f.nodes {
		if selected(i) && n.stop != nil {
			f.Network.Leave(n.address)
			stopping.Go(n.stop)
		}
	}
	stopping.Wait()
	for i, n := range f.nodes {
		if !selected(i) {
			continue
		}
		n.Sync = synchronizer.New(synchronizer.Config{
			Service: n.service, Address: n.address, Domain: n.domain, Region: "region", Seed: f.boots.Add(1), Log: logr.Discard(),
			Spreader: spreader.Config{ForwardAll: f.opts.ForwardAll},
		}, f.Network.Endpoint(n.address, n.domain), f.Platform.Client(n.domain))
		f.Network.Join(n.address, n.domain, n.Sync)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Sync.Run(ctx) // Returns only the error of the context.
		}()
		n.stop = func() { cancel(); <-done }
	}
}

// Stop stops all nodes.
func (f *Fleet) Stop() {
	for _, n := range f.nodes {
		if n.stop != nil {
			n.stop()
		}
	}
}

// Await polls the selected nodes every 2 ms until the condition has held once on
// each. It returns the times since start at which it held, sorted.
func (f *Fleet) Await(start time.Time, limit time.Duration, selected func(i int) bool, condition func(i int, s synchronizer.Snapshot) bool) ([]time.Duration, error) {
	var waiting []int
	for i := range f.nodes {
		if selected(i) {
			waiting = append(waiting, i)
		}
	}
	var times []time.Duration
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(i int) bool {
			ok := condition(i, f.nodes[i].Sync.Snapshot())
			if ok {
				times = append(times, time.Since(start))
			}
			return ok
		})
		if time.Since(start) > limit {
			return times, errors.Newf("condition did not hold on %d nodes within %v", len(waiting), limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return times, nil
}

func all(int) bool { return true }

func ready(_ int, s synchronizer.Snapshot) bool { return s.Ready && s.View.Number > 0 }
