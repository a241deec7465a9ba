package experimenter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"crocustack/crocusfake/internal/judger"
	"crocustack/crocusfake/internal/loader"
)

// Policies lists the policies that the load experiments compare.
var Policies = []string{"Adaptive", "PassThrough"}

// LoadResult holds the figures of one policy.
type LoadResult struct {
	Policy  string
	Phases  []PhaseFigures
	Verdict judger.Verdict
	// Recovered reports whether goodput and p99 returned to their level before
	// the trigger.
	Recovered       bool
	RecoverySeconds float64
	// Trace holds the node log lines about the request of the first breach.
	Trace []string `json:",omitempty"`
	// Directory holds the settings and logs of the nodes when they are kept,
	// on request or after a breach.
	Directory string `json:",omitempty"`
}

// DemoResult holds the figures of Demo.
type DemoResult struct {
	Head
	Results []LoadResult
}

// DemoConfig sets the parameters of Demo.
type DemoConfig struct {
	Command string
	Seed    uint64
	// PerService is the number of instances of each service.
	PerService int
	// Base is the load before and after the trigger, Surge the load during it,
	// both as multiples of the capacity.
	Base, Surge float64
	// Slow is the factor on the service times of the deep service.
	Slow float64
	// Retries is how often callers retry a failed request, during the surge of
	// Demo and above the capacity in Overload.
	Retries  int
	Policies []string
	// Keep leaves the settings and logs of the nodes in place.
	Keep bool
}

const (
	// warmUp is twice the ramp-up time of the admission limit after a cold
	// start, so that the level before the trigger is measured after the ramp.
	warmUp  = 6 * time.Second
	spread  = 0.1
	backoff = 20 * time.Millisecond
)

func loaderConfig(f *fleet, seed uint64) loader.Config {
	return loader.Config{Name: "caller", Entries: f.entries(), Kinds: callerKinds(), Backoff: backoff, Seed: seed}
}

// Demo runs the mesh once for each policy: normal load, a slow-down of the deep
// service, a surge with client retries on top of the slow-down, and normal load
// again.
func Demo(ctx context.Context, cfg DemoConfig) (DemoResult, error) {
	capacityRate := capacity(cfg.PerService)
	base, surge := cfg.Base*capacityRate, cfg.Surge*capacityRate
	phases := []phase{
		{"warm-up", base, 0, 1, warmUp},
		{"before", base, 0, 1, 6 * time.Second},
		{"slow", base, 0, cfg.Slow, 4 * time.Second},
		{"slow+surge+retries", surge, cfg.Retries, cfg.Slow, 8 * time.Second},
		{"after", base, 0, 1, 10 * time.Second},
	}
	result := DemoResult{Head: newHead(cfg.Command, cfg.Seed,
		"UpstreamsPerService", fmt.Sprint(cfg.PerService), "CapacityPerSecond", fmt.Sprintf("%.0f", capacityRate),
		"Base", fmt.Sprintf("%.2f x capacity", cfg.Base), "Surge", fmt.Sprintf("%.2f x capacity", cfg.Surge),
		"SlowDown", fmt.Sprintf("%s %.1f x", deepService, cfg.Slow), "Retries", fmt.Sprint(cfg.Retries), "CallerTimeout", callerTimeout.String())}
	for _, policy := range cfg.Policies {
		r, err := runLoad(ctx, cfg, policy, phases)
		if err != nil {
			return result, err
		}
		result.Results = append(result.Results, r)
	}
	return result, nil
}

func runLoad(ctx context.Context, cfg DemoConfig, policy string, phases []phase) (LoadResult, error) {
	r := LoadResult{Policy: policy}
	f, err := startFleet(ctx, fleetConfig{
		policy: policy, mesh: kwitariuszMesh(), perService: cfg.PerService, domains: []string{"waw-a", "waw-b"}, seed: cfg.Seed, spread: spread,
	})
	if err != nil {
		return r, err
	}
	keep := cfg.Keep
	defer func() { f.close(keep) }()
	l := loader.New(loaderConfig(f, cfg.Seed))
	spans := f.runPhases(ctx, l, phases)
	if err := ctx.Err(); err != nil {
		return r, err
	}
	records := l.Records()
	byName := make(map[string]span)
	for _, s := range spans {
		byName[s.name] = s
		if s.name != "warm-up" {
			r.Phases = append(r.Phases, phaseFigures(records, s))
		}
	}
	if after, ok := byName["after"]; ok {
		var d time.Duration
		d, r.Recovered = recovery(records, byName["before"], after)
		r.RecoverySeconds = d.Seconds()
	}
	r.Verdict = judger.Judge(f.ledgers(), records, allowance)
	if policy == "Adaptive" && r.Verdict.Breaches() > 0 {
		keep = true
		r.Trace = f.trace(r.Verdict.Request)
	}
	if keep {
		r.Directory = f.dir
	}
	return r, nil
}

// Breaches counts the violated promises under the Adaptive policy. The
// PassThrough baseline is expected to violate them.
func (r DemoResult) Breaches() int {
	n := 0
	for _, l := range r.Results {
		if l.Policy == "Adaptive" {
			n += l.Verdict.Breaches()
		}
	}
	return n
}

// Table returns one row for each figure and one column for each policy.
func (r DemoResult) Table() [][]string {
	head := []string{"Figure"}
	for _, l := range r.Results {
		head = append(head, l.Policy)
	}
	rows := [][]string{head}
	row := func(name string, value func(LoadResult) string) {
		cells := []string{name}
		for _, l := range r.Results {
			cells = append(cells, value(l))
		}
		rows = append(rows, cells)
	}
	if len(r.Results) == 0 {
		return rows
	}
	for i, p := range r.Results[0].Phases {
		for _, c := range classes {
			row(fmt.Sprintf("%s: goodput %s", p.Phase, c), func(l LoadResult) string { return formatPercent(l.Phases[i].Goodput[c]) })
		}
		row(p.Phase+": offered / whole per second", func(l LoadResult) string {
			return fmt.Sprintf("%.0f / %.0f", l.Phases[i].OfferedPerSecond, l.Phases[i].WholePerSecond)
		})
		row(p.Phase+": p50 / p99 / p99.9 (ms)", func(l LoadResult) string {
			return fmt.Sprintf("%.0f / %.0f / %.0f", l.Phases[i].P50, l.Phases[i].P99, l.Phases[i].P999)
		})
	}
	row("wrong or partial answers", func(l LoadResult) string { return fmt.Sprint(l.Verdict.WrongAnswers + l.Verdict.WrongNested) })
	row("double runs", func(l LoadResult) string { return fmt.Sprint(l.Verdict.DoubleRuns) })
	row("false NotRun", func(l LoadResult) string { return fmt.Sprint(l.Verdict.FalseNotRun) })
	row("NotRun for a repeat after a run", func(l LoadResult) string { return fmt.Sprint(l.Verdict.RepeatNotRun) })
	row("attempts per request (max)", func(l LoadResult) string { return fmt.Sprint(l.Verdict.MaxAttempts) })
	row("retries in one call tree (max, allowed 3)", func(l LoadResult) string { return fmt.Sprint(l.Verdict.MaxRetries) })
	row("wasted work at backend servers", func(l LoadResult) string { return formatPercent(l.Verdict.Wasted) })
	row("recovery time (s)", func(l LoadResult) string {
		if !l.Recovered {
			return "not recovered"
		}
		return fmt.Sprintf("%.1f", l.RecoverySeconds)
	})
	for _, l := range r.Results {
		for _, line := range slices.Concat(l.Verdict.Examples, l.Trace) {
			if l.Policy == "Adaptive" {
				rows = append(rows, []string{line})
			}
		}
		if l.Directory != "" {
			rows = append(rows, []string{"node logs of " + l.Policy, l.Directory})
		}
	}
	return rows
}
