package prover

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"crocustack/core/classifier"
	"crocustack/core/releaser"

	"crocustack/crocusfake/internal/worker"
)

// startTwoDomains returns a fleet of 8 nodes in two domains.
func startTwoDomains(t *testing.T) *fleet {
	var services []service
	for _, name := range []string{"ksiegi", "skany"} {
		services = append(services, service{
			name: name, instances: 4, slots: 8,
			routes: []worker.Route{{Method: http.MethodGet, Path: "/x", Idempotent: true}},
			kinds: []classifier.Kind{{
				Name: "read-" + name, Service: name, Methods: []string{http.MethodGet}, PathPrefix: "/x", Class: classifier.ClassStandard,
				Idempotent: true, Timeout: time.Second,
			}},
		})
	}
	return start(t, []string{"waw-a", "waw-b"}, services...)
}

// successor returns a successor of the note last that changes the queue length of one
// service.
func (f *fleet) successor(last releaser.Note, service, queueLength int) releaser.Note {
	s := f.firstNote.Added.Services[service]
	s.QueueLength = queueLength
	return f.normalized(releaser.Note{
		Number:      last.Number + 1,
		Predecessor: releaser.Predecessor{Number: last.Number, Digest: last.Digest()},
		Changed:     releaser.Section{Services: []releaser.Service{s}},
	})
}

// catalogue returns the release catalogue that the node serves.
func (n *node) catalogue() (releaser.Catalogue, bool) {
	_, c, err := releaser.ParseDocument(n.get("/release"))
	return c, err == nil
}

// hasNote reports whether the node's catalogue contains the header of a note.
func (n *node) hasNote(note releaser.Note) bool {
	c, ok := n.catalogue()
	if !ok {
		return false
	}
	for _, item := range c.Section(releaser.HeadersSection) {
		if item.Stamp == (releaser.Stamp{Number: note.Number, Digest: note.Digest()}) {
			return true
		}
	}
	return false
}

// requireNotes waits until all nodes have the same catalogue, which contains the
// notes, and checks that no process activated a note lower than an earlier one.
func (f *fleet) requireNotes(notes ...releaser.Note) {
	f.t.Helper()
	began := time.Now()
	eventually(f.t, "common catalogue with all notes", func() bool {
		var first uint64
		for i, n := range f.nodes {
			c, ok := n.catalogue()
			if !ok {
				return false
			}
			if i == 0 {
				first = c.Digest()
			}
			if c.Digest() != first {
				return false
			}
			for _, note := range notes {
				if !n.hasNote(note) {
					return false
				}
			}
		}
		return true
	})
	f.t.Logf("same catalogue on %d nodes %v after the last step", len(f.nodes), time.Since(began).Round(time.Millisecond))
	// One line for the first note on each node, and at least one for a later note.
	// Nodes write log lines in batches, so the last ones appear with a delay.
	eventually(f.t, "log lines of the active notes", func() bool {
		lines := 0
		for _, n := range f.nodes {
			lines += f.requireMonotonic(n)
		}
		return lines > len(f.nodes)
	})
}

// requireMonotonic checks that the notes that one node activated, according to its log,
// never go back within one run of the process. It returns the number of activations.
func (f *fleet) requireMonotonic(n *node) (lines int) {
	b, err := os.ReadFile(n.log)
	check(f.t, err)
	var last releaser.Stamp
	for line := range bytes.Lines(b) {
		var l struct {
			Message string `json:"message"`
			Number  uint64
			Digest  string
		}
		if json.Unmarshal(line, &l) != nil {
			continue
		}
		switch l.Message {
		case "node started":
			last = releaser.Stamp{}
		case "note in force":
			digest, err := strconv.ParseUint(l.Digest, 16, 64)
			check(f.t, err)
			stamp := releaser.Stamp{Number: l.Number, Digest: digest}
			if stamp.Compare(last) < 0 {
				f.t.Errorf("%s went back from note %d %x to note %d %x", n.name, last.Number, last.Digest, stamp.Number, stamp.Digest)
			}
			last = stamp
			lines++
		}
	}
	return lines
}

// restart kills and launches nodes and waits until they are ready.
func (f *fleet) restart(ns ...*node) {
	for _, n := range ns {
		n.kill()
		f.launch(n)
	}
	for _, n := range ns {
		f.waitReady(n)
	}
}

// waitAnyNode waits until at least one node has a note in its catalogue.
func (f *fleet) waitAnyNode(note releaser.Note) {
	f.t.Helper()
	eventually(f.t, "node with the note", func() bool {
		for _, n := range f.nodes {
			if n.hasNote(note) {
				return true
			}
		}
		return false
	})
}

// conflicting returns a note that conflicts with other: it has the same number,
// changes the same service to another value, and has a higher or lower digest.
func (f *fleet) conflicting(other releaser.Note, service int, higher bool) releaser.Note {
	for length := 100; ; length++ {
		if n := f.successor(f.firstNote, service, length); (n.Digest() > other.Digest()) == higher {
			return n
		}
	}
}

// TestP8TwoOperators guards against a note that is lost because another operator, who
// started from the same predecessor, overwrote it on the platform after the first
// node had accepted it, and against nodes that resolve a conflict differently or by
// the order of arrival.
func TestP8TwoOperators(t *testing.T) {
	f := startTwoDomains(t)
	a, b := f.successor(f.firstNote, 0, 81), f.successor(f.firstNote, 1, 82)
	above, below := f.conflicting(a, 0, true), f.conflicting(b, 1, false)
	notes := []releaser.Note{a, b, above, below}
	for _, n := range notes {
		f.publish(n, append(f.firstNote.Items(), n.Items()...)...)
		f.waitAnyNode(n)
	}
	f.requireNotes(append(notes, f.firstNote)...)
	for _, n := range f.nodes {
		c, _ := n.catalogue()
		for i, winner := range []releaser.Note{above, b} {
			name, want := f.services[i].name, winner.Changed.Services[0].QueueLength
			if got := c.View().Services[name].QueueLength; got != want {
				t.Errorf("%s: active queue length %d of %s, want %d of the note with the higher digest", n.name, got, name, want)
			}
		}
	}
}

// TestP8StalePlatform guards against nodes that return to an older note because they
// start while the platform serves an outdated value.
func TestP8StalePlatform(t *testing.T) {
	f := startTwoDomains(t)
	a := f.successor(f.firstNote, 0, 81)
	f.publish(a, append(f.firstNote.Items(), a.Items()...)...)
	f.requireNotes(f.firstNote, a)
	f.publisher.SetStale(1)
	f.restart(f.nodes[0], f.nodes[5])
	f.requireNotes(f.firstNote, a)
}

// TestP8DomainCutRestartsHalf guards against a domain that is partitioned from the
// platform, restarts half of its nodes, and then stays on an older or a diverging
// state.
func TestP8DomainCutRestartsHalf(t *testing.T) {
	f := startTwoDomains(t)
	var partitioned []*node
	for _, n := range f.nodes {
		if n.domain == "waw-b" {
			partitioned = append(partitioned, n)
		}
	}
	f.platform["waw-b"].SetBlocked(true)
	a := f.successor(f.firstNote, 0, 81)
	f.publish(a, append(f.firstNote.Items(), a.Items()...)...)
	f.restart(partitioned[:len(partitioned)/2]...)
	b := f.successor(a, 1, 82)
	f.publish(b, append(append(f.firstNote.Items(), a.Items()...), b.Items()...)...)
	f.requireNotes(f.firstNote, a, b)
	f.platform["waw-b"].SetBlocked(false)
	f.requireNotes(f.firstNote, a, b)
}
