package experimenter

import (
	"context"
	"fmt"
	"time"
)

// OverloadResult holds the results of Overload.
type OverloadResult struct {
	Head
	Results []OverloadFigures
}

// OverloadFigures compares the goodput under overload with the peak goodput for
// one policy.
type OverloadFigures struct {
	LoadResult
	// PeakPerSecond is the highest rate of complete answers at any load.
	PeakPerSecond float64
	// ShareOfPeak is the rate at the highest load divided by the peak.
	ShareOfPeak float64
	// TopClass is the goodput of the top class at the highest load.
	TopClass float64
}

// Overload offers loads in multiples of the capacity, one after another. Callers
// retry at loads above the capacity.
func Overload(ctx context.Context, cfg DemoConfig, loads []float64, each time.Duration) (OverloadResult, error) {
	capacityRate := capacity(cfg.PerService)
	phases := []phase{{"warm-up", 0.5 * capacityRate, 0, 1, warmUp}}
	for _, load := range loads {
		p := phase{name: fmt.Sprintf("%.1f x", load), rate: load * capacityRate, slowdown: 1, duration: each}
		if load > 1 {
			p.retries = cfg.Retries
		}
		phases = append(phases, p)
	}
	result := OverloadResult{Head: newHead(cfg.Command, cfg.Seed,
		"UpstreamsPerService", fmt.Sprint(cfg.PerService), "CapacityPerSecond", fmt.Sprintf("%.0f", capacityRate),
		"Loads", fmt.Sprint(loads), "Each", each.String(), "Retries", fmt.Sprint(cfg.Retries), "CallerTimeout", callerTimeout.String())}
	for _, policy := range cfg.Policies {
		r, err := runLoad(ctx, cfg, policy, phases)
		if err != nil {
			return result, err
		}
		o := OverloadFigures{LoadResult: r}
		for _, p := range r.Phases {
			o.PeakPerSecond = max(o.PeakPerSecond, p.WholePerSecond)
		}
		last := r.Phases[len(r.Phases)-1]
		o.ShareOfPeak = last.WholePerSecond / o.PeakPerSecond
		o.TopClass = last.Goodput[classes[0]]
		result.Results = append(result.Results, o)
	}
	return result, nil
}

// Breaches counts the violated promises under the Adaptive policy.
func (r OverloadResult) Breaches() int {
	n := 0
	for _, o := range r.Results {
		if o.Policy == "Adaptive" {
			n += o.Verdict.Breaches()
		}
	}
	return n
}

// Table returns one row for each policy and load, and a summary row for each
// policy.
func (r OverloadResult) Table() [][]string {
	rows := [][]string{{"Policy", "Load", "Offered/s", "Whole/s", "Critical", "Standard", "Browse", "Bulk", "p50", "p99", "p99.9"}}
	for _, o := range r.Results {
		for _, p := range o.Phases {
			cells := []string{o.Policy, p.Phase, fmt.Sprintf("%.0f", p.OfferedPerSecond), fmt.Sprintf("%.0f", p.WholePerSecond)}
			for _, c := range classes {
				cells = append(cells, formatPercent(p.Goodput[c]))
			}
			rows = append(rows, append(cells, p.P50.String(), p.P99.String(), p.P999.String()))
		}
	}
	for _, o := range r.Results {
		rows = append(rows, []string{o.Policy, "share of peak " + formatPercent(o.ShareOfPeak), "top class " + formatPercent(o.TopClass),
			fmt.Sprintf("breaches %d", o.Verdict.Breaches()), fmt.Sprintf("max attempts %d", o.Verdict.MaxAttempts), "wasted " + formatPercent(o.Verdict.Wasted)})
	}
	return rows
}
