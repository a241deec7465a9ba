package experimenter

import (
	"testing"
	"time"

	"crocustack/crocusfake/internal/loader"
)

// Guards against a recovery time that ignores failures or latency after the
// trigger, or that ends before a whole window has recovered.
func TestRecovery(t *testing.T) {
	begin := time.Unix(0, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	before, after := span{begin: at(0), end: at(4)}, span{begin: at(10), end: at(20)}
	records := func(failFrom, failUntil, slowUntil float64) []loader.Record {
		var rs []loader.Record
		for x := 0.0; x < 20; x += 0.01 {
			latency := 0.1
			if x >= 10 && x < slowUntil {
				latency = 0.2
			}
			rs = append(rs, loader.Record{Offered: at(x), Tries: []loader.Try{{End: at(x + latency), Whole: x < failFrom || x >= failUntil}}})
		}
		return rs
	}
	for name, c := range map[string]struct {
		from, fail, slow float64
		low, high        time.Duration
		ok               bool
	}{
		"at once":       {10, 0, 0, 0, 0, true},
		"failing 3 s":   {10, 13, 0, 2800 * time.Millisecond, 3 * time.Second, true},
		"failing 1-3 s": {11, 13, 0, 2800 * time.Millisecond, 3 * time.Second, true},
		"slow 3 s":      {10, 0, 13, 2900 * time.Millisecond, 3100 * time.Millisecond, true},
		"never":         {10, 20, 0, 0, 0, false},
		"too late":      {10, 19, 0, 0, 0, false},
		"slow for long": {10, 0, 19, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, ok := recovery(records(c.from, c.fail, c.slow), before, after)
			if ok != c.ok || d < c.low || d > c.high {
				t.Errorf("got %v, %t; want %v to %v, %t", d, ok, c.low, c.high, c.ok)
			}
		})
	}
}
