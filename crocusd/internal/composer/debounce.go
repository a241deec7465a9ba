package composer

import "time"

const (
	// minDebounce is the minimum pause between a response with changes and the
	// next watch. Changes come in bursts, and each one would otherwise cost a call
	// of every node.
	minDebounce = 300 * time.Millisecond
	// maxDebounce bounds the pause while changes continue. Operators expect a
	// change to take effect within 2 s.
	maxDebounce = 800 * time.Millisecond
)

// debouncer debounces watches of the store: it computes the pause before the
// next watch, which grows while each watch returns changes at once. The zero
// value is ready to use.
type debouncer struct{ pause time.Duration }

// next returns the pause after a watch that returned changes after waiting for
// the given time.
func (g *debouncer) next(waited time.Duration) time.Duration {
	g.pause *= 2
	if waited > minDebounce {
		g.pause = 0
	}
	g.pause = min(max(g.pause, minDebounce), maxDebounce)
	return g.pause
}
