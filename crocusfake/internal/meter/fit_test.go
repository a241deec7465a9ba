package meter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against slopes in the wrong unit, and against points of different runs
// in the fit of a single run, which would give a wrong minimum, median or maximum.
func TestRowFitsEachRunAndAll(t *testing.T) {
	q := quantity{"records", "KB RSS", "1,000 records", 1e-3, 1000}
	line := func(intercept, slope float64) []point {
		var ps []point
		for _, x := range []float64{1000, 2000, 4000} {
			ps = append(ps, point{x, intercept + slope*x})
		}
		return ps
	}
	got := q.row([][]point{line(5000, 30), line(5000, 10), line(5000, 20)})
	want := Row{
		Quantity: "records", Unit: "KB RSS", Per: "1,000 records", Sizes: []float64{1000, 2000, 4000}, Runs: 3,
		Min: 10, Median: 20, Max: 30, Slope: 20, Intercept: 5,
	}
	if d := cmp.Diff(want, got, cmpopts.EquateApprox(1e-9, 0)); d != "" {
		t.Errorf("row differs (-want +got):\n%s", d)
	}
}

// Guards against table columns that don't match their headings.
func TestTableNamesSizesAndUnits(t *testing.T) {
	c := Capacity{Rows: []Row{{Quantity: "gate", Unit: "µs CPU", Per: "request", Sizes: []float64{250, 1000}, Runs: 3, Min: 1, Median: 2, Max: 3, Slope: 212.4, Intercept: 0.01}}}
	want := [][]string{
		{"Quantity", "Unit", "Sizes", "Runs", "Min", "Median", "Max", "Slope", "Intercept"},
		{"gate", "µs CPU per request", "250 1000", "3", "1", "2", "3", "212", "0.01"},
	}
	if d := cmp.Diff(want, c.Table()); d != "" {
		t.Errorf("table differs (-want +got):\n%s", d)
	}
}
