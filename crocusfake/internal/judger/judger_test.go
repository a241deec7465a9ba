package judger

import (
	"testing"
	"time"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// Guards against a kind of breach that Judge does not detect, and against
// breaches reported where there are none.
func TestJudge(t *testing.T) {
	run := func(key, try, instance string, idempotent bool) worker.Run {
		begin := time.Unix(0, 0)
		return worker.Run{Key: key, Try: try, Instance: instance, Idempotent: idempotent, Begin: begin, End: begin.Add(time.Second)}
	}
	whole := loader.Try{Key: "k", Number: 1, Status: 200, Outcome: "Ran", Whole: true}
	notRun := loader.Try{Key: "k", Number: 1, Status: 503, Outcome: "NotRun"}
	for name, c := range map[string]struct {
		runs   []worker.Run
		nested []worker.NestedCall
		tries  []loader.Try
		// arrivals holds the arrivals at two backend servers.
		arrivals [2]map[worker.Attempt]int
		want     Verdict
	}{
		"clean":                      {runs: []worker.Run{run("k", "1", "a", false)}, tries: []loader.Try{whole}},
		"double run":                 {runs: []worker.Run{run("k", "1", "a", false), run("k", "1", "b", false)}, tries: []loader.Try{whole}, want: Verdict{DoubleRuns: 1}},
		"double run across attempts": {runs: []worker.Run{run("k", "1", "a", false), run("k", "2", "a", false)}, tries: []loader.Try{whole}, want: Verdict{DoubleRuns: 1}},
		"idempotent repeat":          {runs: []worker.Run{run("k", "1", "a", true), run("k", "1", "b", true)}, tries: []loader.Try{whole}},
		"false NotRun":               {runs: []worker.Run{run("k", "1", "a", true)}, tries: []loader.Try{notRun}, want: Verdict{FalseNotRun: 1, Wasted: 1}},
		"true NotRun":                {tries: []loader.Try{notRun}},
		"repeat NotRun": {runs: []worker.Run{run("k", "1", "a", false)}, tries: []loader.Try{{Key: "k", Number: 1}, {Key: "k", Number: 2, Outcome: "NotRun"}},
			want: Verdict{RepeatNotRun: 1, Wasted: 1}},
		"false nested NotRun": {runs: []worker.Run{run("k/0@a:1", "1", "b", true)}, nested: []worker.NestedCall{{Key: "k/0@a:1", Try: "1", Outcome: "NotRun", Whole: true}},
			tries: []loader.Try{whole}, want: Verdict{FalseNotRun: 1}},
		"wrong answer":        {tries: []loader.Try{{Key: "k", Number: 1, Status: 200, Outcome: "Ran"}}, want: Verdict{WrongAnswers: 1}},
		"broken answer":       {tries: []loader.Try{{Key: "k", Number: 1, Status: 200, Outcome: "Ran", Broken: true}}},
		"wrong nested answer": {nested: []worker.NestedCall{{Key: "k/0@a:1", Try: "1", Status: 200}}, want: Verdict{WrongNested: 1}},
		"allowed retries":     {arrivals: [2]map[worker.Attempt]int{{{Key: "k", Try: "1"}: 2, {Key: "k/0@a:1", Try: "1"}: 1}, {{Key: "k/0@a:1", Try: "1"}: 1, {Key: "k/0@a:2", Try: "1"}: 2}}},
		"excess retries":      {arrivals: [2]map[worker.Attempt]int{{{Key: "k", Try: "1"}: 2, {Key: "k/0@a:1", Try: "1"}: 2}, {{Key: "k/0@a:1", Try: "1"}: 2}}, want: Verdict{ExcessRetries: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Judge([]worker.Entries{{Runs: c.runs, Nested: c.nested, Arrivals: c.arrivals[0]}, {Arrivals: c.arrivals[1]}}, []loader.Record{{Kind: "kind", Tries: c.tries}}, 3)
			if got.DoubleRuns != c.want.DoubleRuns || got.FalseNotRun != c.want.FalseNotRun || got.RepeatNotRun != c.want.RepeatNotRun ||
				got.WrongAnswers != c.want.WrongAnswers || got.WrongNested != c.want.WrongNested || got.Wasted != c.want.Wasted || got.ExcessRetries != c.want.ExcessRetries {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if len(got.Examples) != got.Breaches() {
				t.Errorf("%d breaches with %d examples", got.Breaches(), len(got.Examples))
			}
		})
	}
}
