package detector

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Pattern: a node with too little processor time reads requests long after they
// came in. Guards against a request whose time is over, or whose caller has left,
// and which counts as fresh; and against clocks that differ or drift.
func TestLateness(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	for _, c := range []struct {
		name string
		// messages hold the times of sending and reading, each by its own clock.
		messages [][2]time.Duration
		want     []time.Duration
	}{
		{"the same clock", [][2]time.Duration{{s, s + ms}, {2 * s, 2*s + ms}, {3 * s, 4 * s}}, []time.Duration{0, 0, 999 * ms}},
		{"sender ahead", [][2]time.Duration{{100 * s, s}, {101 * s, 2 * s}, {102 * s, 3*s + 700*ms}}, []time.Duration{0, 0, 700 * ms}},
		{"sender behind", [][2]time.Duration{{s, 100 * s}, {2 * s, 101 * s}, {3 * s, 103 * s}}, []time.Duration{0, 0, s}},
		{"first one late", [][2]time.Duration{{s, 2 * s}, {3 * s, 3 * s}, {4 * s, 4*s + 500*ms}}, []time.Duration{0, 0, 500 * ms}},
		{"drift over two windows", [][2]time.Duration{{s, s}, {40 * s, 40*s + 5*ms}, {80 * s, 80*s + 10*ms}, {120 * s, 120*s + 15*ms}}, []time.Duration{0, 5 * ms, 5 * ms, 5 * ms}},
	} {
		var l Lateness
		var got []time.Duration
		for _, m := range c.messages {
			got = append(got, l.Observe(m[1], m[0]))
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: -want +got:\n%s", c.name, d)
		}
	}
}
