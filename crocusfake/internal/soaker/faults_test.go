package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/platform/standin"
)

// Guards against a seed that means another schedule from run to run, and against
// faults that no seed of a longer run draws.
func TestScheduleFollowsSeed(t *testing.T) {
	describe := func(plan []planned) (lines []string) {
		for _, p := range plan {
			lines = append(lines, p.fault.name+" "+p.at.String()+" "+p.lasts.String())
		}
		return lines
	}
	if d := cmp.Diff(describe(schedule(allFaults, 7, 6, time.Minute)), describe(schedule(allFaults, 7, 6, time.Minute))); d != "" {
		t.Errorf("the same seed gives another schedule:\n%s", d)
	}
	// What the seeds in README.md mean: the first faults of seed 5.
	want := []string{"block links 459.534536ms", "close links 588.672268ms"}
	var got []string
	for _, p := range schedule(basicFaults, 5, 6, 12*time.Second)[:2] {
		got = append(got, p.fault.name+" "+p.at.String())
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("seed 5 means another schedule (-want +got):\n%s", d)
	}
	drawn := make(map[string]bool)
	for _, p := range schedule(allFaults, 7, 6, 5*time.Minute) {
		drawn[p.fault.name] = true
	}
	for _, f := range allFaults {
		if !drawn[f.name] {
			t.Errorf("%q is never drawn", f.name)
		}
	}
}

// Guards against a judge that misses a broken promise, or finds one where there
// is none.
func TestJudge(t *testing.T) {
	const id = "1"
	whole := standin.Result{Status: 200, Body: standin.Answer("i", id), Proof: true}
	run := standin.Run{ID: id, Method: http.MethodPost, Host: host, Target: "/write/x", Body: "b", Caller: service}
	other := run
	other.Body = "changed"
	for _, c := range []struct {
		name     string
		result   standin.Result
		runs     []standin.Run
		breaches int
	}{
		{"whole", whole, []standin.Run{run}, 0},
		{"unknown, ran", standin.Result{Status: 502}, []standin.Run{run}, 0},
		{"unknown, not run", standin.Result{}, nil, 0},
		{"refused", standin.Result{Status: 503}, nil, 0},
		{"twice", whole, []standin.Run{run, run}, 1},
		{"false refusal", standin.Result{Status: 503}, []standin.Run{run}, 1},
		{"nobody's answer", whole, nil, 1},
		{"another's answer", standin.Result{Status: 200, Body: standin.Answer("i", "2"), Proof: true}, []standin.Run{run}, 1},
		{"no proof", standin.Result{Status: 200, Body: standin.Answer("i", id)}, []standin.Run{run}, 1},
		{"changed", whole, []standin.Run{other}, 1},
		{"denied", standin.Result{Status: 404}, nil, 1},
	} {
		j := newJudge()
		j.seen[id] = exchanged{request: standin.Request{ID: id, Method: http.MethodPost, Target: "/write/x", Body: "b"}, result: c.result}
		for _, r := range c.runs {
			j.checkRun(r)
		}
		j.checkResult(j.seen[id], len(c.runs))
		if len(j.breaches) != c.breaches {
			t.Errorf("%s: %d breaches, want %d: %v", c.name, len(j.breaches), c.breaches, j.breaches)
		}
	}
}

// Guards against a judge that misses a configuration that goes back, or takes a
// change or another run of the process for one.
func TestVersionWatch(t *testing.T) {
	first, second := time.Unix(1, 0), time.Unix(2, 0)
	for _, c := range []struct {
		name    string
		run     time.Time
		highest int64
		version int64
		status  int
		newest  int64
		bad     bool
	}{
		{"newer", first, 3, 4, http.StatusOK, 4, false},
		{"same", first, 3, 3, http.StatusOK, 3, false},
		{"back", first, 3, 2, http.StatusOK, 3, true},
		{"back after a start", second, 3, 2, http.StatusOK, 3, false},
		{"not there yet", first, 3, 4, http.StatusNotFound, 4, false},
		{"denied again", first, 3, 3, http.StatusNotFound, 3, true},
		{"replaced meanwhile", first, 3, 3, http.StatusNotFound, 4, false},
		{"failed", first, 3, 2, http.StatusBadGateway, 3, false},
	} {
		v := versionWatch{run: first, highest: c.highest}
		v.questions(c.run, c.newest)
		if text := v.answer(c.version, c.status, c.newest); (text != "") != c.bad {
			t.Errorf("%s: %q, want a breach: %t", c.name, text, c.bad)
		}
	}
}
