package watcher

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func drawInstance(t *rapid.T) Instance {
	return Instance{
		Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Address: rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}).Draw(t, "address"),
		Domain: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), Region: "r",
		State: State(rapid.IntRange(0, 2).Draw(t, "state")), Version: rapid.Uint64Range(1, 4).Draw(t, "version"),
	}
}

// TestTableJoin guards against tables that depend on the order of arrival,
// hold records outside their scope or lower a record's version, and against
// indexes that disagree with the records.
func TestTableJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byKey := make(map[string]Instance) // One value for each key, version and state, as the platform has.
		is := rapid.SliceOfN(rapid.Custom(drawInstance), 0, 12).Draw(t, "instances")
		for k, i := range is {
			id := fmt.Sprint(i.Service, i.Address, i.Version, i.State)
			if first, ok := byKey[id]; ok {
				is[k] = first
			}
			byKey[id] = is[k]
		}
		scope := Scope{Domain: "x", Interest: map[string]bool{"a": true}}
		empty := NewTable(scope)
		a, _ := empty.With(0, is...)
		b := empty
		for _, k := range rapid.Permutation(is).Draw(t, "order") {
			before := b
			b, _ = b.With(0, k)
			for key, r := range before.records {
				if b.records[key].Version < r.Version {
					t.Fatalf("version of %v went down", r)
				}
			}
		}
		for _, s := range []string{"a", "b"} {
			if d := cmp.Diff(a.Service(s), b.Service(s)); d != "" {
				t.Fatalf("table depends on the order of arrival:\n%s", d)
			}
		}
		rebuilt := b.WithScope(scope)
		if a.Digest(scope) != b.Digest(scope) || !cmp.Equal(rebuilt.cells, b.cells, cmpopts.EquateEmpty()) || !cmp.Equal(rebuilt.services, b.services, cmpopts.EquateEmpty()) || !cmp.Equal(rebuilt.domains, b.domains, cmpopts.EquateEmpty()) {
			t.Fatalf("indexes are stale: %v, %v", rebuilt, b)
		}
		for _, r := range b.records {
			if r.Domain != "x" && r.Service != "a" {
				t.Fatalf("record outside the scope: %v", r)
			}
		}
	})
}

// TestStaleList guards against removed instances that return because the
// platform serves an old list or a peer sends an old record.
func TestStaleList(t *testing.T) {
	one := Instance{Service: "a", Address: "10.0.0.1:1", Domain: "x", Region: "r"}
	two := Instance{Service: "a", Address: "10.0.0.2:1", Domain: "x", Region: "r"}
	table, _ := NewTable(Scope{Domain: "x"}).WithList(0, "x", 5, []Instance{one, two})
	table, changed := table.WithList(0, "x", 7, []Instance{two})
	if len(changed) != 1 || changed[0].State != StateGone || len(table.Domain("x")) != 1 {
		t.Fatalf("absent instance: %v", changed)
	}
	stale, changed := table.WithList(0, "x", 6, []Instance{one})
	if len(changed) != 0 || !cmp.Equal(stale.Domain("x"), table.Domain("x")) {
		t.Errorf("stale list changed %v", changed)
	}
	two.Version = 7
	gossip, _ := NewTable(Scope{Domain: "x"}).With(0, two)
	if _, changed := gossip.WithList(0, "x", 6, []Instance{one, two}); len(changed) != 0 {
		t.Errorf("a list older than a record of its domain changed %v", changed)
	}
	if gone, ok := table.Newer(one); !ok || gone.State != StateGone {
		t.Errorf("Newer of an outdated record: %v", gone)
	}
	if _, ok := table.Newer(two); ok {
		t.Error("Newer returned a record for an equal one")
	}
	if table.Expire(GoneRetention-1).Len() != 2 {
		t.Error("record expired before the end of the retention")
	}
	table = table.Expire(GoneRetention)
	if table.Len() != 1 {
		t.Error("record not expired after the retention")
	}
	one.Version = 6
	if late, changed := table.With(GoneRetention, one); len(late.Domain("x")) != 1 || len(changed) != 1 || changed[0].State != StateGone {
		t.Errorf("a late record restored a removed instance: %v", changed)
	}
	again, changed := table.WithList(0, "x", 9, []Instance{two})
	if len(changed) != 0 || again.Digest(Scope{All: true}) != table.Digest(Scope{All: true}) {
		t.Errorf("a newer list with equal content changed %v", changed)
	}
}

// TestReadersChange guards against the removal of one instance that replaces
// more than one reader, or a reader that is still present.
func TestReadersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var is []Instance
		for k := range rapid.IntRange(0, 20).Draw(t, "members") {
			is = append(is, Instance{Domain: "d", Address: fmt.Sprintf("10.0.0.%d:%d", k, rapid.IntRange(1, 9).Draw(t, "port"))})
		}
		gone := rapid.IntRange(0, len(is)).Draw(t, "gone")
		kept := append(slices.Clone(is[:gone]), is[min(gone+1, len(is)):]...)
		before, after := Readers(is, 2), Readers(kept, 2)
		moved := 0
		for _, r := range before {
			if !slices.Contains(after, r) {
				moved++
				if gone < len(is) && r != is[gone].Address {
					t.Fatalf("%s is no longer a reader although another instance left", r)
				}
			}
		}
		if moved > 1 || len(before) != min(2, len(is)) {
			t.Fatalf("before %v, after %v", before, after)
		}
	})
}

// TestDirectRate guards against overload of the platform by direct reads when
// all readers are lost at once, when the whole fleet starts and when the
// platform fails.
func TestDirectRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 11).Draw(t, "domains")
		size := rapid.SampledFrom([]int{3, 40, 3000 / domains}).Draw(t, "size")
		down := rapid.Bool().Draw(t, "platform down")
		start := rapid.Bool().Draw(t, "whole fleet starts")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		names := make([]string, domains)
		var planners []*Planner
		for k := range size * domains {
			p := NewPlanner(PlannerConfig{Self: fmt.Sprint("absent", k), Domain: "d"}, 0, rnd.Float64())
			if !start {
				p.memberCount, p.domains, p.hasRelease = size, names, true
				p.keys[ReleaseKey].answered, p.keys[p.ownKey()].answered = true, true
			}
			planners = append(planners, p)
		}
		const step, limit = 500 * time.Millisecond, 2000
		perSecond := make([]int, 60)
		for now := time.Duration(0); now < 60*time.Second; now += step {
			for _, p := range planners {
				for _, r := range p.Next(now, rnd.Float64) {
					perSecond[now/time.Second]++
					if down {
						p.RecordResult(now, r.Key, ResultFailed, 0, rnd.Float64())
						continue
					}
					p.RecordResult(now, r.Key, ResultValue, 1, rnd.Float64())
					p.memberCount, p.domains = size, names
				}
			}
		}
		if most := slices.Max(perSecond); most > limit {
			t.Fatalf("%d nodes made %d reads in one second", len(planners), most)
		}
		total := 0
		for _, n := range perSecond[20:] {
			total += n
		}
		if mean := float64(total) / 40; mean > 1000 || mean == 0 {
			t.Fatalf("%d nodes made %.0f reads per second", len(planners), mean)
		}
	})
}

// TestPlannerModes guards against readers that don't watch, and against nodes
// that read directly although they receive messages from a reader.
func TestPlannerModes(t *testing.T) {
	members := []Instance{{Domain: "d", Address: "1"}, {Domain: "d", Address: "2"}, {Domain: "d", Address: "3"}}
	readers := Readers(members, 2)
	half := func() float64 { return 0.5 }
	for _, m := range members {
		p := NewPlanner(PlannerConfig{Self: m.Address, Domain: "d"}, 0, 0)
		if got := p.Next(0, half); len(got) != 1 || got[0].Key != "instances/d" {
			t.Fatalf("first reads: %v", got)
		}
		p.RecordResult(0, "instances/d", ResultValue, 4, 0.5)
		p.SetMembers(members, []string{"d", "e"}, true)
		now := 9 * time.Second
		p.RecordMessage(now, readers[0])
		reads := p.Next(now, half)
		if slices.Contains(readers, m.Address) {
			if len(reads) != 3 || reads[1] != (Read{Key: "instances/d", After: 4, Wait: 30 * time.Second}) {
				t.Errorf("reader: %v", reads)
			}
			continue
		}
		if len(reads) != 0 || p.Mode(now+9*time.Second, ReleaseKey) != ModeRelayed || p.Mode(now+10*time.Second, ReleaseKey) != ModeDirect {
			t.Errorf("not a reader: %v", reads)
		}
	}
}

// TestClient guards against wrong requests, and against responses without a
// newer value that are reported as values.
func TestClient(t *testing.T) {
	var status int
	var got string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.URL.String()
		w.Header().Set("Key-Version", "7")
		w.WriteHeader(status)
	}))
	defer s.Close()
	c := NewClient(s.URL, s.Client())
	for st, want := range map[int]Result{200: ResultValue, 304: ResultUnchanged, 404: ResultMissing, 429: ResultFailed, 500: ResultFailed} {
		status = st
		v, res, err := c.Get(context.Background(), Read{Key: "instances/waw-a", After: 6, Wait: 30 * time.Second})
		if res != want || (err != nil) != (want == ResultFailed) || (v.Version == 7) != (want == ResultValue) {
			t.Errorf("status %d: %v %v %v", st, v, res, err)
		}
		if got != "/v1/keys/instances/waw-a?after=6&wait=30" {
			t.Errorf("request %s", got)
		}
	}
	status = 200
	if _, res, _ := c.Get(context.Background(), Read{Key: ReleaseKey, After: 7}); res != ResultUnchanged {
		t.Errorf("a value that is not newer gave result %v", res)
	}
	s.Close()
	if _, res, err := c.Get(context.Background(), Read{Key: ReleaseKey}); res != ResultFailed || err == nil {
		t.Errorf("platform down: %v %v", res, err)
	}
}

// TestGolden guards against faulty lists that are accepted, and against
// findings with a wrong position.
func TestGolden(t *testing.T) {
	b, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseInstances(b)
	got := fmt.Sprintln(err)
	if *update {
		if err := os.WriteFile("testdata/faults.golden", []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/faults.golden")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("findings (-want +got):\n%s", d)
	}
}

// FuzzParseInstances guards against panics and against records that can't be
// sent to peers.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte(`- {Service: a, Address: "10.0.0.7:7001", Domain: d, Region: r, State: Live}`))
	f.Add([]byte("[]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		is, err := ParseInstances(b)
		if err != nil {
			return
		}
		for _, i := range is {
			if got, ok := DecodeInstance(i.Encode()); !ok || got != i {
				t.Fatalf("encoded %v, decoded %v", i, got)
			}
		}
	})
}
