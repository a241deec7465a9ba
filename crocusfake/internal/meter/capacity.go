package meter

import (
	"context"
	"fmt"
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

// Measure runs all measurements one after the other.
func Measure(ctx context.Context, command string, seed uint64, runs int) (Capacity, error) {
	begin := time.Now()
	result := Capacity{Head: experimenter.NewHead(command, seed, "Runs", strconv.Itoa(runs))}
	m := &meter{seed: seed, runs: runs}
	for _, s := range []struct {
		name    string
		measure func(context.Context) ([]Row, error)
	}{
		{"requests with log", func(ctx context.Context) ([]Row, error) { return m.requests(ctx, true) }},
		{"requests without log", func(ctx context.Context) ([]Row, error) { return m.requests(ctx, false) }},
		{"links", m.links},
		{"requests in flight", m.requestsInFlight},
		{"gate records", m.records},
		{"instances", m.instances},
		{"release items", m.items},
		{"idle fleets", m.idle},
	} {
		rows, err := s.measure(ctx)
		if err != nil {
			return result, errors.Wrapf(err, "measure %s", s.name)
		}
		result.Rows = append(result.Rows, rows...)
	}
	result.Parameters["LoadAverageAfter"] = experimenter.NewHead("", 0).Parameters["LoadAverageBefore"]
	result.Parameters["Took"] = time.Since(begin).Round(time.Second).String()
	return result, nil
}

// Breaches is always 0; the measurements judge nothing.
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
			figure(r.Min), figure(r.Median), figure(r.Max), figure(r.Slope), figure(r.Intercept),
		})
	}
	return rows
}

// figure writes three significant digits.
func figure(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
