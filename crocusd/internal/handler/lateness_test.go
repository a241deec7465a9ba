package handler

import (
	"testing"
	"time"

	"crocustack/core/detector"
	"crocustack/core/encoder"
)

// A request may wait unread at an overloaded node. Guards against granting it
// more time than its caller has left, and against reducing its time when the
// uptime of either machine is unknown.
func TestLateRequestHasLessTime(t *testing.T) {
	const ms = time.Millisecond
	run := func(sent time.Duration) *encoder.Run {
		return &encoder.Run{RemainingMicros: 300_000, SentMicros: uint64(sent.Microseconds())}
	}
	for _, c := range []struct {
		name      string
		sent, now time.Duration
		want      time.Duration
	}{
		{"at once", 1000 * ms, 5000 * ms, 300 * ms},
		{"late", 1100 * ms, 5300 * ms, 100 * ms},
		{"too late", 1200 * ms, 9000 * ms, 0},
		{"sender without a clock", 0, 9000 * ms, 300 * ms},
		{"receiver without a clock", 1300 * ms, 0, 300 * ms},
	} {
		var l detector.LatenessEstimator
		l.Observe(5000*ms, 1000*ms)
		m := run(c.sent)
		if got := remaining(m, lateness(&l, m, c.now)); got != c.want {
			t.Errorf("%s: %v left, want %v", c.name, got, c.want)
		}
	}
}
