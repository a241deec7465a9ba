package measurer

import (
	"flag"
	"os"
	"testing"
	"time"

	"crocustack/crocusd/internal/synchronizer"
)

var measure = flag.Int("measure", 0, "number of nodes to measure; 0 skips the measurements")

// TestMeasure prints the measurements of one fleet size; it runs only with the
// flag -measure.
func TestMeasure(t *testing.T) {
	if *measure == 0 {
		t.Skip("run with -measure=30, 100, 300 or 1000")
	}
	if err := Measure(os.Stdout, *measure); err != nil {
		t.Fatal(err)
	}
}

// TestFleet guards against a Synchronizer that loses changes, deadlocks or leaks
// goroutines. A fleet receives a note while 30% of all messages are lost and one
// domain is partitioned from the other nodes and from the platform. That domain
// must receive the note from its peers once they are reachable again.
func TestFleet(t *testing.T) {
	f := NewFleet(Options{Nodes: 12, Domains: 3, Services: 3})
	defer f.Stop()
	f.Start(all)
	if _, err := f.Await(time.Now(), 20*time.Second, all, ready); err != nil {
		t.Fatal(err)
	}
	f.Network.SetLoss(0.3)
	f.Network.SetPartitioned(domainName(1), true)
	f.Platform.SetPartitioned(domainName(1), true)
	others := func(i int) bool { return i%3 != 1 }
	number := f.PublishNote()
	hasNote := func(_ int, s synchronizer.Snapshot) bool { return s.View.Number == number }
	if _, err := f.Await(time.Now(), 20*time.Second, others, hasNote); err != nil {
		t.Fatal(err)
	}
	for i, n := range f.nodes {
		if !others(i) && n.Sync.Snapshot().View.Number == number {
			t.Errorf("node %d received the note although its domain is partitioned", i)
		}
	}
	f.Network.SetPartitioned(domainName(1), false)
	if _, err := f.Await(time.Now(), 30*time.Second, all, hasNote); err != nil {
		t.Fatal(err)
	}
}
