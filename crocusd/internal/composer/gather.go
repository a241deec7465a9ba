package composer

import "time"

const (
	// minGather is the pause between an answer with changes and the next watch.
	// Changes come in rows, and each one would otherwise cost a call of every node.
	minGather = 300 * time.Millisecond
	// maxGather bounds the pause while changes go on: operators expect a change
	// to be in force within 2 s.
	maxGather = 800 * time.Millisecond
)

// gatherer says how long to let changes gather. While each watch finds some at
// once, the pause grows. The zero value is ready to use.
type gatherer struct{ pause time.Duration }

// next returns the pause after a watch that found changes after the wait.
func (g *gatherer) next(waited time.Duration) time.Duration {
	g.pause *= 2
	if waited > minGather {
		g.pause = 0
	}
	g.pause = min(max(g.pause, minGather), maxGather)
	return g.pause
}
