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
	// riseShare of the requests at or above the level are shed by one rise.
	riseShare = 0.1
	// The level falls by slowFall while requests wait longer than the target,
	// and by up to fastFall otherwise: from the highest level to 0 in 2.6 s.
	slowFall = 2
	fastFall = 20
)

// Priority returns the value that is compared with an admission level. All
// calls of a tree have the same hash, so that services shed the same trees
// instead of each a different part of every tree.
func Priority(class classifier.Class, treeID uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], treeID)
	class = min(max(class, 0), classifier.NumClasses-1)
	return uint32(class)*levelsPerClass + uint32(xxhash.Sum64(b[:])%levelsPerClass)
}

// leveler controls the admission level of a gate.
type leveler struct {
	// level is below numLevels, so that 1 in 128 trees of the top class is
	// always admitted.
	level uint32
	// offered counts the requests of this window by priority.
	offered [numLevels]uint32
}

// endWindow adjusts the level and tells whether it rose.
func (l *leveler) endWindow(now time.Duration, q *queue) bool {
	before := l.level
	highest, waiting := -1, false
	for c := range classifier.Class(classifier.NumClasses) {
		if q.standing(now, c) {
			highest = int(c)
		}
		waiting = waiting || q.over[c].open
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

// rise raises the level by riseShare of the requests that it lets pass, but not
// above bound, the end of the highest class whose own requests had to queue.
func (l *leveler) rise(bound uint32) {
	var passing uint32
	for _, n := range l.offered[l.level:] {
		passing += n
	}
	for shed := uint32(0); l.level < bound && float64(shed) < riseShare*float64(passing); l.level++ {
		shed += l.offered[l.level]
	}
}

// fall lowers the level by riseShare of the requests that it lets pass, but by
// fastFall at most: few requests below the level are seen here when the entry
// nodes reject them.
func (l *leveler) fall() {
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
