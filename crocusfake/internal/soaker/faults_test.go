package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/platform/standin"
)

// TestScheduleFollowsSeed guards against a seed whose schedule changes between runs
// or versions, and against faults in the table that are never drawn.
func TestScheduleFollowsSeed(t *testing.T) {
	describe := func(plan []scheduledFault) (lines []string) {
		for _, p := range plan {
			lines = append(lines, p.fault.name+" "+p.at.String()+" "+p.lasts.String())
		}
		return lines
	}
	if d := cmp.Diff(describe(schedule(allFaults, 7, 6, time.Minute)), describe(schedule(allFaults, 7, 6, time.Minute))); d != "" {
		t.Errorf("two schedules of the same seed differ:\n%s", d)
	}
	// The first faults of seed 5, one of the failed seeds recorded in README.md.
	want := []string{"block links 459.534536ms", "close links 588.672268ms"}
	var got []string
	for _, p := range schedule(basicFaults, 5, 6, 12*time.Second)[:2] {
		got = append(got, p.fault.name+" "+p.at.String())
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("schedule of seed 5 changed (-want +got):\n%s", d)
	}
	drawn := make(map[string]bool)
	for _, p := range schedule(allFaults, 7, 6, 5*time.Minute) {
		drawn[p.fault.name] = true
	}
	for _, f := range allFaults {
		if !drawn[f.name] {
			t.Errorf("fault %q is never drawn", f.name)
		}
	}
}

// TestJudge guards against a judge that misses a violated guarantee, or reports one
// for a correct result.
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
		{"complete answer", whole, []standin.Run{run}, 0},
		{"unknown, ran", standin.Result{Status: 502}, []standin.Run{run}, 0},
		{"unknown, not run", standin.Result{}, nil, 0},
		{"refused", standin.Result{Status: 503}, nil, 0},
		{"ran twice", whole, []standin.Run{run, run}, 1},
		{"refused, ran", standin.Result{Status: 503}, []standin.Run{run}, 1},
		{"answer without a run", whole, nil, 1},
		{"answer to another request", standin.Result{Status: 200, Body: standin.Answer("i", "2"), Proof: true}, []standin.Run{run}, 1},
		{"no proof", standin.Result{Status: 200, Body: standin.Answer("i", id)}, []standin.Run{run}, 1},
		{"changed body", whole, []standin.Run{other}, 1},
		{"route not found", standin.Result{Status: 404}, nil, 1},
	} {
		j := newJudge()
		j.exchanges[id] = exchange{request: standin.Request{ID: id, Method: http.MethodPost, Target: "/write/x", Body: "b"}, result: c.result}
		for _, r := range c.runs {
			j.checkRun(r)
		}
		j.checkResult(j.exchanges[id], len(c.runs))
		if len(j.breaches) != c.breaches {
			t.Errorf("%s: %d breaches, want %d: %v", c.name, len(j.breaches), c.breaches, j.breaches)
		}
	}
}

// TestVersionWatch guards against a check that misses a node returning to an older
// configuration, or that mistakes a new configuration or a restart of the node for
// that.
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
		{"newer version", first, 3, 4, http.StatusOK, 4, false},
		{"same version", first, 3, 3, http.StatusOK, 3, false},
		{"older version", first, 3, 2, http.StatusOK, 3, true},
		{"older version after a restart", second, 3, 2, http.StatusOK, 3, false},
		{"not applied yet", first, 3, 4, http.StatusNotFound, 4, false},
		{"not found after it was served", first, 3, 3, http.StatusNotFound, 3, true},
		{"replaced by a newer version", first, 3, 3, http.StatusNotFound, 4, false},
		{"request failed", first, 3, 2, http.StatusBadGateway, 3, false},
	} {
		v := versionWatch{run: first, highest: c.highest}
		v.versionsToRequest(c.run, c.newest)
		if text := v.checkStatus(c.version, c.status, c.newest); (text != "") != c.bad {
			t.Errorf("%s: %q, want a breach: %t", c.name, text, c.bad)
		}
	}
}
