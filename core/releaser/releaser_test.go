package releaser

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/classifier"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// drawNote draws a valid note from a small space of names, so that notes
// collide on items and numbers.
func drawNote(t *rapid.T, label string) Note {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	n := Note{Number: rapid.Uint64Range(1, 5).Draw(t, label+" number")}
	if n.Number > 1 {
		n.Predecessor = Predecessor{Number: n.Number - 1, Digest: rapid.Uint64Range(0, 2).Draw(t, label+" predecessor")}
	}
	for s := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, label+" services") {
		n.Added.Services = append(n.Added.Services, Service{Name: string(rune('a' + s)), Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: 1, QueueTime: time.Millisecond})
	}
	for _, k := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, label+" kinds") {
		n.Changed.Kinds = append(n.Changed.Kinds, classifier.Kind{Name: k, Service: name.Draw(t, "service"), PathPrefix: "/", Timeout: time.Second})
	}
	n.Withdrawn.Domains = []string{"z"}
	if rapid.Bool().Draw(t, label+" withdraw") {
		n.Withdrawn.Services = []string{"c"}
	}
	n.normalize()
	return n
}

func drawCatalogue(t *rapid.T, label string) Catalogue {
	var c Catalogue
	for k := range rapid.IntRange(0, 4).Draw(t, label) {
		c, _ = c.With(drawNote(t, fmt.Sprint(label, k)).Items()...)
	}
	if rapid.Bool().Draw(t, label+" far") {
		c, _ = c.With(Note{Number: 4 + HeaderWindow, Predecessor: Predecessor{Number: 3 + HeaderWindow}, Withdrawn: Withdrawal{Kinds: []string{"a"}}}.Items()...)
	}
	return c
}

func equal(a, b Catalogue) bool {
	return a.Digest() == b.Digest() && cmp.Equal(a.Items(), b.Items()) && cmp.Equal(a.Sections(), b.Sections()) && a.highest == b.highest
}

// TestJoin guards against nodes that end in different states because they
// received the same updates in a different order or more than once.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawCatalogue(t, "a"), drawCatalogue(t, "b"), drawCatalogue(t, "c")
		join := func(x, y Catalogue) Catalogue { z, _ := x.With(y.Items()...); return z }
		if !equal(join(a, b), join(b, a)) {
			t.Fatalf("join is not commutative: %v, %v", join(a, b).Items(), join(b, a).Items())
		}
		if !equal(join(join(a, b), c), join(a, join(b, c))) {
			t.Fatal("join is not associative")
		}
		if again, changed := a.With(a.Items()...); !equal(again, a) || len(changed) > 0 {
			t.Fatalf("join is not idempotent: changed %v", changed)
		}
		for _, i := range join(a, b).Items() {
			if old, ok := a.Item(i.Name); ok && i.Stamp.Compare(old.Stamp) < 0 {
				t.Fatalf("stamp of %s went down", i.Name)
			}
		}
		if a.Digest() == b.Digest() != equal(a, b) {
			t.Fatal("digests are equal for different catalogues or differ for equal ones")
		}
	})
}

// TestRoundTrips guards against an encoding as document or message that changes
// a note, a digest or an item, so that nodes disagree about it.
func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, c := drawNote(t, "note"), drawCatalogue(t, "catalogue")
		swapped := n.clone()
		slices.Reverse(swapped.Added.Services)
		slices.Reverse(swapped.Changed.Kinds)
		if swapped.Digest() != n.Digest() {
			t.Fatal("the digest depends on the order of lists")
		}
		back, err := ParseNote("note", n.Canonical())
		if err != nil || back.Digest() != n.Digest() || !cmp.Equal(back.Items(), n.Items()) {
			t.Fatalf("note changed: %v %s", err, cmp.Diff(n, back))
		}
		c, _ = c.With(n.Items()...)
		dn, dc, err := ParseDocument(Document(n, c))
		if err != nil || dn.Digest() != n.Digest() || !equal(dc, c) {
			t.Fatalf("document changed: %v %s", err, cmp.Diff(c.Items(), dc.Items()))
		}
		for _, i := range c.Items() {
			if got, err := DecodeItem(i.Encode()); err != nil || got != i {
				t.Fatalf("item changed: %v %v", got, err)
			}
			bad := i.Encode()
			bad.Service += "x"
			if _, err := DecodeItem(bad); err == nil {
				t.Fatalf("item in the wrong section accepted: %v", bad)
			}
		}
	})
}

// TestConflicts guards against concurrent notes or gaps that go unreported
// because all items of one note were overwritten.
func TestConflicts(t *testing.T) {
	first := Note{Number: 1, Withdrawn: Withdrawal{Kinds: []string{"a"}}}
	p := Predecessor{Number: 1, Digest: first.Digest()}
	x := Note{Number: 2, Predecessor: p, Withdrawn: Withdrawal{Kinds: []string{"b"}}}
	y := Note{Number: 2, Predecessor: p, Added: Section{Kinds: []classifier.Kind{{Name: "b", Service: "s", PathPrefix: "/", Timeout: time.Second}}}}
	c, _ := Catalogue{}.With(append(x.Items(), y.Items()...)...)
	if got := c.Conflicts(); len(got) != 2 {
		t.Errorf("conflicts: %v", got)
	}
	if d := cmp.Diff([]Predecessor{p}, c.Gaps()); d != "" {
		t.Errorf("gaps (-want +got):\n%s", d)
	}
	c, _ = c.With(first.Items()...)
	if got := c.View(); len(got.Gaps) != 0 || got.Number != 2 {
		t.Errorf("after the gap was filled: %v", got)
	}
}

// TestGolden guards against faulty notes and documents that are accepted, and
// against findings with a wrong position.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden cases: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasPrefix(filepath.Base(file), "document") {
				_, _, err = ParseDocument(b)
			} else {
				_, err = ParseNote(filepath.Base(file), b)
			}
			got := fmt.Sprintln(err)
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(string(want), got); d != "" {
				t.Errorf("findings (-want +got):\n%s", d)
			}
		})
	}
}

func addSeeds(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	n := Note{Number: 1, Withdrawn: Withdrawal{Kinds: []string{"a"}}}
	f.Add(n.Canonical())
	f.Add(Document(n, Catalogue{}))
}

// FuzzParseNote guards against panics and against notes whose canonical form
// is not accepted again with the same digest.
func FuzzParseNote(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := ParseNote("fuzz", b)
		if err != nil {
			return
		}
		again, err := ParseNote("again", n.Canonical())
		if err != nil || again.Digest() != n.Digest() {
			t.Fatalf("canonical form rejected or parsed with another digest: %v\n%s", err, n.Canonical())
		}
	})
}

// FuzzParseDocument guards against panics and against documents that change
// when rendered again.
func FuzzParseDocument(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		n, c, err := ParseDocument(b)
		if err != nil {
			return
		}
		_, again, err := ParseDocument(Document(n, c))
		if err != nil || !equal(c, again) {
			t.Fatalf("rendered document rejected or changed: %v\n%s", err, Document(n, c))
		}
	})
}

// BenchmarkParseDocument measures parsing, View and With at full scale: 340
// services with 3 kinds each.
func BenchmarkParseDocument(b *testing.B) {
	n := Note{Number: 1}
	for s := range 340 {
		name := fmt.Sprintf("service-%d", s)
		n.Added.Services = append(n.Added.Services, Service{Name: name, Slots: 1, Connections: 1, Calls: []string{"a", "b"}, QueueTime: time.Millisecond})
		for k := range 3 {
			n.Added.Kinds = append(n.Added.Kinds, classifier.Kind{Name: fmt.Sprintf("%s-kind-%d", name, k), Service: name, PathPrefix: "/x", Timeout: time.Second})
		}
	}
	n.normalize()
	c, _ := Catalogue{}.With(n.Items()...)
	last := Note{Number: 2, Predecessor: Predecessor{Number: 1}, Withdrawn: Withdrawal{Kinds: []string{"a"}}}
	d := Document(last, c)
	b.Run("document", func(b *testing.B) {
		b.SetBytes(int64(len(d)))
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := ParseDocument(d); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			c.View()
		}
	})
	b.Run("with", func(b *testing.B) {
		for b.Loop() {
			c.With(last.Items()...)
		}
	})
}
