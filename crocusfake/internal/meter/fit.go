package meter

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// point is one measured value and the size at which it was measured.
type point struct {
	size, value float64
}

// Row holds the lines fitted to the measurements of one quantity.
type Row struct {
	// Quantity is the name of the measured quantity, Unit its unit, and Per the
	// unit of the size.
	Quantity, Unit, Per string
	Sizes               []float64
	Runs                int
	// Min, Median and Max are the quantiles of the slopes of the single runs.
	Min, Median, Max float64
	// Slope and Intercept describe the least squares line through the points
	// of all runs.
	Slope, Intercept float64
}

// quantity describes a measured quantity: its name, its unit and the unit of its
// size. The scales convert the slope to unit per per.
type quantity struct {
	name, unit, per string
	// scale is the factor from measured values to unit; perSize is the size that
	// counts as one per.
	scale, perSize float64
}

// row fits a line to the points of each run and one to the points of all runs.
// A run needs at least two different sizes.
func (q quantity) row(runs [][]point) Row {
	r := Row{Quantity: q.name, Unit: q.unit, Per: q.per, Runs: len(runs)}
	var all []point
	slopes := make([]float64, 0, len(runs))
	for _, run := range runs {
		_, s := q.fit(run)
		slopes = append(slopes, s)
		all = append(all, run...)
	}
	if len(all) == 0 {
		return r
	}
	for _, p := range all {
		r.Sizes = append(r.Sizes, p.size)
	}
	r.Sizes = distinctSizes(r.Sizes)
	r.Intercept, r.Slope = q.fit(all)
	slices.SortFunc(slopes, cmp.Compare[float64])
	r.Min, r.Median, r.Max = slopes[0], stat.Quantile(0.5, stat.Empirical, slopes, nil), slopes[len(slopes)-1]
	return r
}

// fit returns the intercept and slope of the least squares line in the units of
// the row.
func (q quantity) fit(points []point) (intercept, slope float64) {
	x, y := make([]float64, 0, len(points)), make([]float64, 0, len(points))
	for _, p := range points {
		x = append(x, p.size/q.perSize)
		y = append(y, p.value*q.scale)
	}
	return stat.LinearRegression(x, y, nil, false)
}

// distinctSizes returns the sorted sizes without those that exceed the preceding
// kept one by at most 10%. Measured rates with the same nominal value differ
// slightly.
func distinctSizes(sizes []float64) []float64 {
	var out []float64
	for _, s := range slices.Sorted(slices.Values(sizes)) {
		if len(out) == 0 || s > 1.1*out[len(out)-1] {
			out = append(out, s)
		}
	}
	return out
}
