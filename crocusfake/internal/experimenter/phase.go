package experimenter

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"crocustack/crocusfake/internal/loader"
)

// phase is a period of constant load and constant slow-down.
type phase struct {
	name     string
	rate     float64
	retries  int
	slowdown float64
	duration time.Duration
}

// span is the time interval of a phase.
type span struct {
	name       string
	begin, end time.Time
}

func (s span) contains(r loader.Record) bool {
	return !r.Offered.Before(s.begin) && r.Offered.Before(s.end)
}

// runPhases offers the load of each phase in turn and returns when all requests
// have ended. The slow-down applies to the deep service.
func (f *fleet) runPhases(ctx context.Context, l *loader.Loader, phases []phase) []span {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.Run(loadCtx)
	}()
	var spans []span
	for _, p := range phases {
		for _, m := range f.membersOf(deepService) {
			m.worker.SetSlow(p.slowdown)
		}
		l.SetRetries(p.retries)
		l.SetRate(p.rate)
		s := span{name: p.name, begin: time.Now()}
		select {
		case <-time.After(p.duration):
		case <-ctx.Done():
		}
		s.end = time.Now()
		spans = append(spans, s)
	}
	stop()
	<-finished
	f.waitIdle()
	return spans
}

// Milliseconds is a duration in milliseconds in the output of experiments.
type Milliseconds float64

func milliseconds(d time.Duration) Milliseconds {
	return Milliseconds(d.Microseconds()) / 1000
}

// PhaseFigures holds the results that callers observed in one phase.
type PhaseFigures struct {
	Phase            string
	OfferedPerSecond float64
	WholePerSecond   float64
	// Goodput is the share of offered requests with a complete answer, by class.
	Goodput        map[string]float64
	P50, P99, P999 Milliseconds
	Outcomes       map[string]int
}

func phaseFigures(records []loader.Record, s span) PhaseFigures {
	all := loader.Summarize(records, s.contains)
	seconds := s.end.Sub(s.begin).Seconds()
	p := PhaseFigures{
		Phase:            s.name,
		OfferedPerSecond: float64(all.Offered) / seconds, WholePerSecond: float64(all.Good) / seconds,
		Goodput: make(map[string]float64), Outcomes: all.Outcomes,
		P50: milliseconds(all.P50), P99: milliseconds(all.P99), P999: milliseconds(all.P999),
	}
	for _, c := range classes {
		p.Goodput[c] = loader.Summarize(records, func(r loader.Record) bool { return r.Class == c && s.contains(r) }).Share
	}
	return p
}

const (
	recoveryWindow = 2 * time.Second
	recoveryStep   = 100 * time.Millisecond
)

// recovery returns the time from the end of the trigger until goodput and p99
// stay within 5% of the worst window before the trigger for a recoveryWindow. It
// returns false if they don't before the end of the span after.
func recovery(records []loader.Record, before, after span) (time.Duration, bool) {
	var worst *loader.Summary
	for t := before.begin; !t.Add(recoveryWindow).After(before.end); t = t.Add(recoveryStep) {
		s := windowSummary(records, t)
		if worst == nil {
			worst = s
		}
		worst.Share = min(worst.Share, s.Share)
		worst.P99 = max(worst.P99, s.P99)
	}
	if worst == nil {
		return 0, false
	}
	for t := after.begin; !t.Add(recoveryWindow).After(after.end); t = t.Add(recoveryStep) {
		s := windowSummary(records, t)
		if s.Share >= 0.95*worst.Share && s.P99 <= worst.P99*105/100 {
			return t.Sub(after.begin), true
		}
	}
	return 0, false
}

func windowSummary(records []loader.Record, begin time.Time) *loader.Summary {
	return loader.Summarize(records, span{begin: begin, end: begin.Add(recoveryWindow)}.contains)
}

// Head identifies an experiment and its parameters. Every result starts with it.
type Head struct {
	Command    string
	Seed       uint64
	Parameters map[string]string
}

func newHead(command string, seed uint64, parameters ...string) Head {
	h := Head{Command: command, Seed: seed, Parameters: make(map[string]string)}
	for i := 0; i+1 < len(parameters); i += 2 {
		h.Parameters[parameters[i]] = parameters[i+1]
	}
	// The load average is reported because latencies on a busy machine are not
	// comparable with those on an idle one.
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		h.Parameters["LoadAverageBefore"], _, _ = strings.Cut(string(b), " ")
	}
	return h
}

func formatPercent(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }

// formatPercents formats shares as percentages, sorted by name.
func formatPercents(m map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, name+" "+formatPercent(m[name]))
	}
	return strings.Join(parts, ", ")
}

func (m Milliseconds) String() string { return fmt.Sprintf("%.2f ms", float64(m)) }

func joinSpaces(values []string) string { return strings.Join(values, " ") }
