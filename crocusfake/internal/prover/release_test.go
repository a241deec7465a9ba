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

// office returns a fleet of 8 nodes over two domains.
func office(t *testing.T) *fleet {
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

// follow returns a note that changes one service, on top of another note.
func (f *fleet) follow(last releaser.Note, service, queueLength int) releaser.Note {
	s := f.first.Added.Services[service]
	s.QueueLength = queueLength
	return f.normalized(releaser.Note{
		Number:      last.Number + 1,
		Predecessor: releaser.Predecessor{Number: last.Number, Digest: last.Digest()},
		Changed:     releaser.Section{Services: []releaser.Service{s}},
	})
}

// catalogue returns the release catalogue of a node.
func (n *node) catalogue() (releaser.Catalogue, bool) {
	_, c, err := releaser.ParseDocument(n.get("/release"))
	return c, err == nil
}

// holds tells whether the catalogue of the node has the header of a note.
func (n *node) holds(note releaser.Note) bool {
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

// requireNotes waits until all nodes have the same catalogue with the notes,
// and checks that no process logged a note in force below an earlier one.
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
				if !n.holds(note) {
					return false
				}
			}
		}
		return true
	})
	f.t.Logf("same catalogue on %d nodes %v after the last step", len(f.nodes), time.Since(began).Round(time.Millisecond))
	// One line for the first note on each node, and one for a later note. Nodes
	// write their lines in batches, so the last ones come a moment later.
	eventually(f.t, "log lines of the notes in force", func() bool {
		lines := 0
		for _, n := range f.nodes {
			lines += f.requireForward(n)
		}
		return lines > len(f.nodes)
	})
}

// requireForward checks the log of one node and returns the number of lines
// about notes in force.
func (f *fleet) requireForward(n *node) (lines int) {
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

func (f *fleet) restart(ns ...*node) {
	for _, n := range ns {
		n.kill()
		f.launch(n)
	}
	for _, n := range ns {
		f.waitReady(n)
	}
}

// anywhere waits until a note is in force on at least one node.
func (f *fleet) anywhere(note releaser.Note) {
	f.t.Helper()
	eventually(f.t, "node with the note", func() bool {
		for _, n := range f.nodes {
			if n.holds(note) {
				return true
			}
		}
		return false
	})
}

// rival returns a note of the same number as another one, with another value
// of the same item and a digest on the given side of the other's.
func (f *fleet) rival(other releaser.Note, service int, higher bool) releaser.Note {
	for length := 100; ; length++ {
		if n := f.follow(f.first, service, length); (n.Digest() > other.Digest()) == higher {
			return n
		}
	}
}

// TestP8TwoOperators guards against a note that is lost because another
// operator, who started from the same predecessor, overwrote it on the platform
// after the first node had accepted it, and against nodes that settle a
// conflict differently or by the order of arrival.
func TestP8TwoOperators(t *testing.T) {
	f := office(t)
	a, b := f.follow(f.first, 0, 81), f.follow(f.first, 1, 82)
	above, below := f.rival(a, 0, true), f.rival(b, 1, false)
	notes := []releaser.Note{a, b, above, below}
	for _, n := range notes {
		f.publish(n, append(f.first.Items(), n.Items()...)...)
		f.anywhere(n)
	}
	f.requireNotes(append(notes, f.first)...)
	for _, n := range f.nodes {
		c, _ := n.catalogue()
		for i, winner := range []releaser.Note{above, b} {
			name, want := f.services[i].name, winner.Changed.Services[0].QueueLength
			if got := c.View().Services[name].QueueLength; got != want {
				t.Errorf("%s: queue length %d of %s in force, want %d of the note with the higher digest", n.name, got, name, want)
			}
		}
	}
}

// TestP8StalePlatform guards against a note that reverts on nodes that start
// while the platform serves an older value.
func TestP8StalePlatform(t *testing.T) {
	f := office(t)
	a := f.follow(f.first, 0, 81)
	f.publish(a, append(f.first.Items(), a.Items()...)...)
	f.requireNotes(f.first, a)
	f.publisher.SetStale(1)
	f.restart(f.nodes[0], f.nodes[5])
	f.requireNotes(f.first, a)
}

// TestP8DomainCutRestartsHalf guards against a domain that, cut off from the
// platform, restarts half of its nodes and stays behind or on another state.
func TestP8DomainCutRestartsHalf(t *testing.T) {
	f := office(t)
	var cut []*node
	for _, n := range f.nodes {
		if n.domain == "waw-b" {
			cut = append(cut, n)
		}
	}
	f.platform["waw-b"].SetBlocked(true)
	a := f.follow(f.first, 0, 81)
	f.publish(a, append(f.first.Items(), a.Items()...)...)
	f.restart(cut[:len(cut)/2]...)
	b := f.follow(a, 1, 82)
	f.publish(b, append(append(f.first.Items(), a.Items()...), b.Items()...)...)
	f.requireNotes(f.first, a, b)
	f.platform["waw-b"].SetBlocked(false)
	f.requireNotes(f.first, a, b)
}
