package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary holds the statistics of a set of records.
type Summary struct {
	Offered, Good, Unsent int
	// Share is Good / Offered, or 0 if Offered is 0.
	Share          float64
	P50, P99, P999 time.Duration
	// Outcomes counts attempts by label.
	Outcomes  map[string]int
	latencies *hdrhistogram.Histogram
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Outcomes: make(map[string]int),
		// 1 µs to 2 min with 3 significant digits.
		latencies: hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3),
	}
}

// Summarize computes the statistics of the records that match.
func Summarize(records []Record, match func(Record) bool) *Summary {
	s := NewSummary()
	for _, r := range records {
		if !match(r) {
			continue
		}
		s.Offered++
		if r.Unsent {
			s.Unsent++
		}
		for _, t := range r.Tries {
			s.Outcomes[t.OutcomeLabel()]++
		}
		if d, ok := r.Latency(); ok {
			s.Good++
			// RecordValue fails only for latencies above 2 min.
			_ = s.latencies.RecordValue(max(1, d.Microseconds()))
		}
	}
	if s.Offered > 0 {
		s.Share = float64(s.Good) / float64(s.Offered)
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(s.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	s.P50, s.P99, s.P999 = quantile(50), quantile(99), quantile(99.9)
	return s
}
