package admitter

import (
	"time"

	"crocustack/core/classifier"
)

// maxDepth is the greatest call depth that the queue distinguishes; call trees
// are up to 8 deep.
const maxDepth = 15

type entry struct {
	Request
	arrived time.Duration
	// startDeadline is the time by which the request must get a slot, or 0 for
	// none.
	startDeadline time.Duration
	// serviceTime is the expected time for which the request holds a slot.
	serviceTime time.Duration
	priority    uint32
}

func (e entry) expired(now, queueTime time.Duration) bool {
	return now-e.arrived >= queueTime || e.startDeadline > 0 && now >= e.startDeadline
}

// queue holds the waiting requests by class and depth. A deep call comes before
// a shallow one of its class, because more work has been done for its tree.
type queue struct {
	// buckets are in the order of arrival.
	buckets [classifier.NumClasses][maxDepth + 1][]entry
	// len and perClass count the entries of all buckets and of each class.
	len      int
	perClass [classifier.NumClasses]int
	// work is the expected service time of all entries of each class.
	work [classifier.NumClasses]time.Duration
	// overTarget holds, for each class, since when every observation has found
	// that the oldest request waited longer than the target.
	overTarget [classifier.NumClasses]span
}

// span is the time for which a condition has held.
type span struct {
	// open is true while the condition holds; since is valid only then.
	open  bool
	since time.Duration
}

// observe updates the queueing delays.
func (q *queue) observe(now, target time.Duration) {
	for c := range q.overTarget {
		overTarget := q.oldestAge(now, classifier.Class(c)) > target
		if overTarget && !q.overTarget[c].open {
			q.overTarget[c].since = now
		}
		q.overTarget[c].open = overTarget
	}
}

// standing reports whether the class has a standing queue: whether its queueing
// delay has been over the target for a whole window. Random arrivals cause
// shorter delays.
func (q *queue) standing(now time.Duration, c classifier.Class) bool {
	return q.overTarget[c].open && now-q.overTarget[c].since >= window
}

func (q *queue) push(e entry) {
	b := &q.buckets[e.Class][min(e.Depth, maxDepth)]
	*b = append(*b, e)
	q.count(e.Class, 1)
	q.work[e.Class] += e.serviceTime
}

// totalWork returns the expected service time of all entries.
func (q *queue) totalWork() time.Duration {
	total := time.Duration(0)
	for _, w := range q.work {
		total += w
	}
	return total
}

func (q *queue) count(c classifier.Class, n int) {
	q.len += n
	q.perClass[c] += n
}

// highestClass returns the highest class in the queue, which must not be empty.
func (q *queue) highestClass() classifier.Class {
	c := classifier.Class(classifier.NumClasses - 1)
	for q.perClass[c] == 0 {
		c--
	}
	return c
}

// popBest removes and returns the next request to admit. The queue must not be
// empty. In a standing queue the newest request goes first (adaptive LIFO), since
// the oldest ones will mostly time out. During a short delay the order is first
// in, first out: LIFO would let the oldest requests time out although all could
// be admitted in time.
func (q *queue) popBest(now time.Duration) entry {
	c := q.highestClass()
	d := maxDepth
	for len(q.buckets[c][d]) == 0 {
		d--
	}
	return q.pop(c, d, q.standing(now, c))
}

// popWorst removes and returns the next request to shed, the one that popBest
// would return last. The queue must not be empty.
func (q *queue) popWorst(now time.Duration) entry {
	c, d := classifier.Class(0), 0
	for q.perClass[c] == 0 {
		c++
	}
	for len(q.buckets[c][d]) == 0 {
		d++
	}
	return q.pop(c, d, !q.standing(now, c))
}

func (q *queue) pop(c classifier.Class, d int, newest bool) entry {
	b := &q.buckets[c][d]
	q.count(c, -1)
	var e entry
	if newest {
		last := len(*b) - 1
		e, *b = (*b)[last], (*b)[:last]
	} else {
		e, *b = (*b)[0], (*b)[1:]
	}
	q.work[e.Class] -= e.serviceTime
	return e
}

func (q *queue) remove(id uint64) (entry, bool) {
	found := q.removeIf(func(e entry) bool { return e.ID == id })
	if len(found) == 0 {
		return entry{}, false
	}
	return found[0], true
}

// removeIf removes and returns the entries for which match returns true.
func (q *queue) removeIf(match func(entry) bool) []entry {
	var removed []entry
	for c := range q.buckets {
		if q.perClass[c] == 0 {
			continue
		}
		for d, b := range q.buckets[c] {
			kept := b[:0]
			for _, e := range b {
				if match(e) {
					removed = append(removed, e)
				} else {
					kept = append(kept, e)
				}
			}
			q.buckets[c][d] = kept
		}
	}
	for _, e := range removed {
		q.count(e.Class, -1)
		q.work[e.Class] -= e.serviceTime
	}
	return removed
}

// oldestAge returns the longest time that a request of a class has waited.
func (q *queue) oldestAge(now time.Duration, c classifier.Class) time.Duration {
	if q.perClass[c] == 0 {
		return 0
	}
	var age time.Duration
	for _, b := range q.buckets[c] {
		if len(b) > 0 {
			age = max(age, now-b[0].arrived)
		}
	}
	return age
}
