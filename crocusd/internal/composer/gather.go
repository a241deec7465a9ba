package composer

import "time"

const (
	// minGather is the minimum pause between a response with changes and the next
	// watch. Changes come in bursts, and each one would otherwise cost a call of
	// every node.
	minGather = 300 * time.Millisecond
	// maxGather bounds the pause while changes continue. Operators expect a change
	// to take effect within 2 s.
	maxGather = 800 * time.Millisecond
)

// gatherer debounces watches of the store: it computes the pause before the
// next watch, which grows while each watch returns changes at once. The zero
// value is ready to use.
type gatherer struct{ pause time.Duration }

// next returns the pause after a watch that returned changes after waiting for
// the given time.
func (g *gatherer) next(waited time.Duration) time.Duration {
	g.pause *= 2
	if waited > minGather {
		g.pause = 0
	}
	g.pause = min(max(g.pause, minGather), maxGather)
	return g.pause
}
