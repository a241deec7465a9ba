package meter

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/experimenter"
)

// Capacity is the result of Measure.
type Capacity struct {
	experimenter.Head
	Rows []Row
}

type meter struct {
	seed uint64
	runs int
}

// Options select what Measure does.
type Options struct {
	Seed uint64
	// Runs is the number of runs of each measurement.
	Runs int
	// Only selects measurements by name, from Names; empty selects all.
	Only []string
}

// Names returns the names of the measurements in the order in which they run.
func Names() []string {
	var names []string
	for _, s := range measurements() {
		names = append(names, s.name)
	}
	return names
}

type measurement struct {
	name    string
	measure func(*meter, context.Context) ([]Row, error)
}

func measurements() []measurement {
	return []measurement{
		{"requests", func(m *meter, ctx context.Context) ([]Row, error) { return m.requests(ctx, true) }},
		{"requests-without-log", func(m *meter, ctx context.Context) ([]Row, error) { return m.requests(ctx, false) }},
		{"links", (*meter).links},
		{"in-flight", (*meter).requestsInFlight},
		{"records", (*meter).records},
		{"instances", (*meter).instances},
		{"items", (*meter).items},
		{"idle", (*meter).idle},
	}
}

// Measure runs the selected measurements one after another.
func Measure(ctx context.Context, command string, o Options) (Capacity, error) {
	begin := time.Now()
	result := Capacity{Head: experimenter.NewHead(command, o.Seed, "Runs", strconv.Itoa(o.Runs))}
	for _, name := range o.Only {
		if !slices.Contains(Names(), name) {
			return result, errors.Newf("no measurement %q, there are %s", name, strings.Join(Names(), ", "))
		}
	}
	m := &meter{seed: o.Seed, runs: o.Runs}
	for _, s := range measurements() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		rows, err := s.measure(m, ctx)
		if err != nil {
			return result, errors.Wrapf(err, "measure %s", s.name)
		}
		result.Rows = append(result.Rows, rows...)
	}
	result.Parameters["LoadAverageAfter"] = experimenter.NewHead("", 0).Parameters["LoadAverageBefore"]
	result.Parameters["Took"] = time.Since(begin).Round(time.Second).String()
	return result, nil
}

// Breaches always returns 0, since the measurements check no promises.
func (c Capacity) Breaches() int { return 0 }

// Table returns one row for each quantity.
func (c Capacity) Table() [][]string {
	rows := [][]string{{"Quantity", "Unit", "Sizes", "Runs", "Min", "Median", "Max", "Slope", "Intercept"}}
	for _, r := range c.Rows {
		var sizes []string
		for _, s := range r.Sizes {
			sizes = append(sizes, fmt.Sprintf("%.0f", s))
		}
		rows = append(rows, []string{
			r.Quantity, r.Unit + " per " + r.Per, strings.Join(sizes, " "), strconv.Itoa(r.Runs),
			formatFigure(r.Min), formatFigure(r.Median), formatFigure(r.Max), formatFigure(r.Slope), formatFigure(r.Intercept),
		})
	}
	return rows
}

// formatFigure formats v with three significant digits.
func formatFigure(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
