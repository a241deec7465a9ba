package admitter

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/classifier"
)

const (
	// levelsPerClass is the number of admission levels within one class.
	levelsPerClass = 128
	numLevels      = classifier.NumClasses * levelsPerClass
	// riseShare is the share of the requests at or above the level that one
	// rise of the level sheds.
	riseShare = 0.1
	// The level falls by slowFall while requests wait longer than the target,
	// and by up to fastFall otherwise: from the highest level to 0 in 2.6 s.
	slowFall = 2
	fastFall = 20
)

// Priority returns the value that is compared with an admission level. All
// calls of a tree have the same hash, so that all services shed the same trees
// instead of each shedding calls of different trees.
func Priority(class classifier.Class, treeID uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], treeID)
	class = min(max(class, 0), classifier.NumClasses-1)
	return uint32(class)*levelsPerClass + uint32(xxhash.Sum64(b[:])%levelsPerClass)
}

// levelController adapts the admission level of a gate to the queueing delay.
type levelController struct {
	// level is below numLevels, so that it always lets 1 in 128 trees of the
	// highest class pass.
	level uint32
	// offered counts the requests that arrived in this window by priority.
	offered [numLevels]uint32
}

// endWindow adjusts the level and reports whether it rose.
func (l *levelController) endWindow(now time.Duration, q *queue) bool {
	before := l.level
	highest, waiting := -1, false
	for c := range classifier.Class(classifier.NumClasses) {
		if q.standing(now, c) {
			highest = int(c)
		}
		waiting = waiting || q.overTarget[c].open
	}
	switch {
	case highest >= 0:
		l.rise(uint32(highest+1)*levelsPerClass - 1)
	case waiting:
		l.level -= min(l.level, slowFall)
	default:
		l.fall()
	}
	clear(l.offered[:])
	return l.level > before
}

// rise raises the level until it sheds riseShare of the requests that it lets
// pass, but not above bound, the last level of the highest class that has a
// standing queue.
func (l *levelController) rise(bound uint32) {
	var passing uint32
	for _, n := range l.offered[l.level:] {
		passing += n
	}
	for shed := uint32(0); l.level < bound && float64(shed) < riseShare*float64(passing); l.level++ {
		shed += l.offered[l.level]
	}
}

// fall lowers the level until riseShare more requests pass, but by fastFall at
// most: when the entry nodes reject requests below the level, few of them are
// counted here.
func (l *levelController) fall() {
	var passing uint32
	for _, n := range l.offered[l.level:] {
		passing += n
	}
	added := uint32(0)
	for n := 0; n < fastFall && l.level > 0 && float64(added) <= riseShare*float64(passing); n++ {
		l.level--
		added += l.offered[l.level]
	}
}
