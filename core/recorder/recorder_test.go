package recorder

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

// Guards against a ring buffer that returns stale, missing or reordered values
// when it wraps around.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		pushed := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 40).Draw(t, "pushed")
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		r := newRing[int](size)
		for _, v := range pushed {
			r.push(v)
		}
		var want []int
		for i := len(pushed) - 1; i >= max(len(pushed)-size, 0) && len(want) < limit; i-- {
			if pushed[i] != 1 {
				want = append(want, pushed[i])
			}
		}
		if diff := cmp.Diff(want, r.last(limit, func(v *int) bool { return *v != 1 })); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a JSON encoding that decodes to a different decision, so that
// crocusctl misreads what the admin API returns.
func TestDecisionJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reason := rapid.SampledFrom(Reasons()).Draw(t, "reason")
		d := Decision{
			Time:      time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "s"), 0).UTC(),
			Kind:      Kind(rapid.IntRange(0, numKinds-1).Draw(t, "kind")),
			RequestID: rapid.String().Draw(t, "id"),
			Class:     classifier.Class(rapid.IntRange(0, classifier.NumClasses-1).Draw(t, "class")),
			Outcome: rapid.SampledFrom([]resolver.Outcome{nil, resolver.Ran{Status: 200},
				resolver.NotRun{Reason: reason}, resolver.Unknown{Reason: reason}}).Draw(t, "outcome"),
			Reason: reason,
			Took:   time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "us")) * time.Microsecond,
		}
		b, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		var got Decision
		if err := json.Unmarshal(b, &got); err != nil {
			t.Fatalf("%s: %v", b, err)
		}
		if diff := cmp.Diff(d, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against an unknown enum name, such as one that a newer node sends,
// being decoded as value 0.
func TestDecisionJSONUnknownName(t *testing.T) {
	for _, s := range []string{
		`{"Kind":"Nap","Class":"Bulk","Reason":"None"}`,
		`{"Kind":"Shed","Class":"Gold","Reason":"None"}`,
		`{"Kind":"Shed","Class":"Bulk","Reason":"Mood"}`,
		`{"Kind":"Shed","Class":"Bulk","Reason":"None","Outcome":"Maybe"}`,
	} {
		if err := json.Unmarshal([]byte(s), new(Decision)); err == nil {
			t.Errorf("%s: no error", s)
		}
	}
}

// Guards against lost or double counts, a reason that is not taken from the
// outcome, and a ring buffer that mixes up requests. Run with -race.
func TestRecordConcurrently(t *testing.T) {
	const workers, each = 8, 200
	r := New(logr.Discard(), 2*workers*each)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for range each {
				id := string(rune('a' + w))
				r.Record(Decision{Kind: KindShed, RequestID: id, Reason: resolver.ReasonLevelBelow})
				r.Record(Decision{Kind: KindAnswer, RequestID: id, KindName: "k", Took: time.Millisecond,
					Outcome: resolver.NotRun{Reason: resolver.ReasonLevelBelow}})
			}
		})
	}
	wg.Wait()
	got := map[string]int64{}
	r.Registry().Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			got[name] = m.Count()
		case metrics.Timer:
			got[name] = m.Count()
		}
	})
	want := map[string]int64{"Decisions.Shed.LevelBelow": workers * each, "Answers.NotRun.LevelBelow": workers * each, "Time.k": workers * each}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	recent := r.Recent(Filter{RequestID: "c", Limit: 3})
	if len(recent) != 3 {
		t.Fatalf("%d decisions, want 3", len(recent))
	}
	for _, d := range recent {
		if d.RequestID != "c" || d.Reason != resolver.ReasonLevelBelow {
			t.Errorf("unexpected %+v", d)
		}
	}
	for w := range workers {
		id := string(rune('a' + w))
		if n := len(r.Recent(Filter{RequestID: id})); n != 2*each {
			t.Errorf("ring holds %d decisions of %s, want %d", n, id, 2*each)
		}
	}
}

// Guards against a decision line that lacks a documented field, and against a
// log level or Decisions: false that affects decision lines in another way than
// documented.
func TestNewLogger(t *testing.T) {
	for _, tc := range []struct {
		level, format string
		decisions     bool
		want          int // Lines out of one info, one debug, one error, one decision.
	}{
		{"Info", "JSON", true, 3},
		{"Debug", "JSON", true, 4},
		{"Error", "JSON", true, 2},
		{"Info", "JSON", false, 2},
		{"Info", "Console", true, 3},
	} {
		var buf bytes.Buffer
		log, decisions, err := NewLogger(&buf, &buf, tc.level, tc.format, tc.decisions)
		if err != nil {
			t.Fatal(err)
		}
		log.Info("one")
		log.V(1).Info("two")
		log.Error(nil, "three")
		New(decisions, 1).Record(sample)
		if n := strings.Count(buf.String(), "\n"); n != tc.want {
			t.Errorf("%+v: %d lines:\n%s", tc, n, buf.String())
		}
		if tc.format != "JSON" || !tc.decisions {
			continue
		}
		lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
		var fields map[string]any
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &fields); err != nil {
			t.Fatal(err)
		}
		for _, f := range append([]string{"time", "level", "message"}, LineFields...) {
			if _, ok := fields[f]; !ok {
				t.Errorf("no field %s in %v", f, fields)
			}
			delete(fields, f)
		}
		if len(fields) != 0 {
			t.Errorf("undocumented fields %v", fields)
		}
	}
	if _, _, err := NewLogger(nil, nil, "Loud", "JSON", true); err == nil {
		t.Error("level Loud accepted")
	}
	if _, _, err := NewLogger(nil, nil, "Info", "XML", true); err == nil {
		t.Error("format XML accepted")
	}
}

func BenchmarkRecord(b *testing.B) {
	r := New(logr.Discard(), 4096)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(sample)
		}
	})
}
