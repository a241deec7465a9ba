package meter

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// point is one measurement.
type point struct {
	size, value float64
}

// Row is the line through the measurements of one quantity.
type Row struct {
	// Quantity is measured in Unit and its size in units of Per.
	Quantity, Unit, Per string
	Sizes               []float64
	Runs                int
	// Min, Median and Max are of the slopes of the single runs.
	Min, Median, Max float64
	// Slope and Intercept are those of the least squares line through the
	// points of all runs.
	Slope, Intercept float64
}

// quantity names what a row holds. Scale converts the slope to unit per per.
type quantity struct {
	name, unit, per string
	// scale multiplies values, and perSize is the size that counts as one.
	scale, perSize float64
}

// row fits the points of each run. A run needs two different sizes.
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
	r.Sizes = nominal(r.Sizes)
	r.Intercept, r.Slope = q.fit(all)
	slices.SortFunc(slopes, cmp.Compare[float64])
	r.Min, r.Median, r.Max = slopes[0], stat.Quantile(0.5, stat.Empirical, slopes, nil), slopes[len(slopes)-1]
	return r
}

// fit returns intercept and slope of the least squares line in the units of the
// row.
func (q quantity) fit(points []point) (intercept, slope float64) {
	x, y := make([]float64, 0, len(points)), make([]float64, 0, len(points))
	for _, p := range points {
		x = append(x, p.size/q.perSize)
		y = append(y, p.value*q.scale)
	}
	return stat.LinearRegression(x, y, nil, false)
}

// nominal returns the sorted sizes without those that are within a tenth of the
// one before. Rates that were meant to be equal differ a little.
func nominal(sizes []float64) []float64 {
	var out []float64
	for _, s := range slices.Sorted(slices.Values(sizes)) {
		if len(out) == 0 || s > 1.1*out[len(out)-1] {
			out = append(out, s)
		}
	}
	return out
}
