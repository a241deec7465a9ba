package detector

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLateness guards against counting a request as fresh although its deadline
// has passed or its caller has disconnected. This happens on a node that is
// short of CPU time and reads requests long after they arrived. Also guards
// against false delays from clocks that differ or drift.
func TestLateness(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	for _, c := range []struct {
		name string
		// messages holds the send and the read time of each message, each by the
		// clock of its own machine.
		messages [][2]time.Duration
		want     []time.Duration
	}{
		{"the same clock", [][2]time.Duration{{s, s + ms}, {2 * s, 2*s + ms}, {3 * s, 4 * s}}, []time.Duration{0, 0, 999 * ms}},
		{"sender ahead", [][2]time.Duration{{100 * s, s}, {101 * s, 2 * s}, {102 * s, 3*s + 700*ms}}, []time.Duration{0, 0, 700 * ms}},
		{"sender behind", [][2]time.Duration{{s, 100 * s}, {2 * s, 101 * s}, {3 * s, 103 * s}}, []time.Duration{0, 0, s}},
		{"first one late", [][2]time.Duration{{s, 2 * s}, {3 * s, 3 * s}, {4 * s, 4*s + 500*ms}}, []time.Duration{0, 0, 500 * ms}},
		{"drift over two windows", [][2]time.Duration{{s, s}, {40 * s, 40*s + 5*ms}, {80 * s, 80*s + 10*ms}, {120 * s, 120*s + 15*ms}}, []time.Duration{0, 5 * ms, 5 * ms, 5 * ms}},
	} {
		var e LatenessEstimator
		var got []time.Duration
		for _, m := range c.messages {
			got = append(got, e.Observe(m[1], m[0]))
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: -want +got:\n%s", c.name, d)
		}
	}
}
