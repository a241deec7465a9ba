package quarantiner

import "github.com/rcrowley/go-metrics"

// Register registers the gauges Suspects.Size, Suspects.Judged and Suspects.Dropped
// of the table.
func (t *Table) Register(registry metrics.Registry) {
	registry.GetOrRegister("Suspects.Size", metrics.NewFunctionalGauge(t.Size))
	registry.GetOrRegister("Suspects.Judged", metrics.NewFunctionalGauge(t.Judged))
	registry.GetOrRegister("Suspects.Dropped", metrics.NewFunctionalGauge(t.Dropped))
}
