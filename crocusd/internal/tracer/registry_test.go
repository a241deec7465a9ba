package tracer

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
)

const (
	traceA = "0af7651916cd43dd8448eb211c80319c"
	traceB = "4bf92f3577b34da6a3ce929d0e0e4736"
)

func header(trace string) string { return "00-" + trace + "-00f067aa0ba902b7-01" }

// TestFind guards against an outbound call that is given the retry pool, the
// deadline or the class of a request that it does not belong to.
func TestFind(t *testing.T) {
	now := time.Now()
	first := &Run{Token: "t1", TraceID: traceA, Class: classifier.ClassCritical, Deadline: now.Add(time.Second), TreeID: 1, Depth: 1, Pool: budgeter.NewPool(3)}
	second := &Run{Token: "t2", TraceID: traceA, Class: classifier.ClassBrowse, Deadline: now.Add(2 * time.Second), TreeID: 2, Depth: 4, Pool: budgeter.NewPool(3)}
	other := &Run{Token: "t3", TraceID: traceB, Class: classifier.ClassBulk, Deadline: now, TreeID: 3, Pool: budgeter.NewPool(3)}
	g := NewRegistry()
	for _, r := range []*Run{first, second, other} {
		g.Add(r)
	}
	for _, c := range []struct {
		name, parent, trace string
		want                Match
	}{
		{"parent", "t2", "", Matched{second}},
		{"parent and trace of different runs", "t2", header(traceB), Matched{second}},
		{"unknown parent, trace of one run", "gone", header(traceB), Matched{other}},
		{"trace of two runs", "", header(traceA), Ambiguous{Class: classifier.ClassBrowse, Deadline: first.Deadline, TreeID: 1, Depth: 4}},
		{"no headers", "", "", Unmatched{}},
		{"unknown parent and trace", "gone", header(strings.Repeat("1", 32)), Unmatched{}},
		{"malformed trace", "", "00-" + traceB, Unmatched{}},
	} {
		if got := g.Find(c.parent, c.trace); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	g.Remove(first)
	if got := g.Find("", header(traceA)); got != (Matched{second}) {
		t.Errorf("after the end of the other run: %+v, want the remaining one", got)
	}
	g.Remove(second)
	if got := g.Find("t2", header(traceA)); got != (Unmatched{}) {
		t.Errorf("after the end of both runs: %+v, want Unmatched", got)
	}
	if len(g.byToken) != 1 || len(g.byTrace) != 1 {
		t.Errorf("%d tokens and %d traces held for 1 run", len(g.byToken), len(g.byTrace))
	}
}

// TestFindFollowsRuns guards against calls that are correlated with runs that
// have ended, and against a trace that counts as unambiguous while several of
// its runs are in progress.
func TestFindFollowsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewRegistry()
		traces := []string{traceA, traceB}
		var runs []*Run
		tokens := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				tokens++
				r := &Run{Token: strings.Repeat("x", tokens), TraceID: rapid.SampledFrom(traces).Draw(t, "trace"), Class: classifier.Class(rapid.IntRange(0, int(classifier.ClassCritical)).Draw(t, "class"))}
				g.Add(r)
				runs = append(runs, r)
			},
			"remove": func(t *rapid.T) {
				if len(runs) == 0 {
					t.Skip("no run")
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				g.Remove(runs[i])
				runs = append(runs[:i], runs[i+1:]...)
			},
			"": func(t *rapid.T) {
				for _, trace := range traces {
					var matching []*Run
					lowest := classifier.ClassCritical
					for _, r := range runs {
						if r.TraceID == trace {
							matching = append(matching, r)
							lowest = min(lowest, r.Class)
						}
						if got := g.Find(r.Token, ""); got != (Matched{r}) {
							t.Fatalf("run %q: %+v", r.Token, got)
						}
					}
					switch got := g.Find("", header(trace)).(type) {
					case Unmatched:
						if len(matching) != 0 {
							t.Fatalf("trace of %d runs is unmatched", len(matching))
						}
					case Matched:
						if len(matching) != 1 || got.Run != matching[0] {
							t.Fatalf("trace of %d runs matches %+v", len(matching), got.Run)
						}
					case Ambiguous:
						if len(matching) < 2 || got.Class != lowest {
							t.Fatalf("trace of %d runs with lowest class %v is ambiguous with class %v", len(matching), lowest, got.Class)
						}
					}
				}
			},
		})
	})
}

// FuzzTraceID guards against a malformed traceparent that is accepted, which
// would correlate unrelated requests.
func FuzzTraceID(f *testing.F) {
	for _, s := range []string{
		"", header(traceA), "00-" + traceA + "-00f067aa0ba902b7", header(strings.Repeat("0", 32)), header(strings.ToUpper(traceA)),
		"ff-" + traceA + "-00f067aa0ba902b7-01", "cc-" + traceA + "-00f067aa0ba902b7-01-extra", "00-" + traceA + "-0000000000000000-01", "---",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id := TraceID(s)
		if id == "" {
			return
		}
		if len(id) != traceIDLength || strings.Trim(id, "0123456789abcdef") != "" || strings.Trim(id, "0") == "" {
			t.Errorf("%q gives the trace id %q", s, id)
		}
		// W3C Trace Context, section 3.2: version, trace id, parent id and
		// flags, with version ff and parent id 0 invalid.
		parts := strings.Split(s, "-")
		if !hex(parts[0], 2) || parts[0] == "ff" || !hex(parts[2], 16) || strings.Trim(parts[2], "0") == "" || !hex(parts[3], 2) {
			t.Errorf("%q is malformed and gives the trace id %q", s, id)
		}
		if parts[0] == "00" && len(parts) != 4 {
			t.Errorf("%q has %d parts in version 00 and gives the trace id %q", s, len(parts), id)
		}
	})
}

func hex(s string, n int) bool { return len(s) == n && strings.Trim(s, "0123456789abcdef") == "" }
