package admitter

import (
	"math"
	"time"

	"crocustack/core/classifier"
)

const (
	// plannedShare is the target utilization of the limit. The rest absorbs the
	// variation of random arrivals.
	plannedShare = 0.92
	// demandTime is the time constant with which demand is averaged.
	demandTime = 400 * time.Millisecond
	// drainTime is the time within which the queued requests should get a slot.
	drainTime = 500 * time.Millisecond
	// minPassing is the smallest passing share of a class from which its demand
	// can be estimated. It bounds the weight of one arrival.
	minPassing = 1.0 / 16
	// holdWeight is the weight of one sample in the mean time that a kind holds
	// a slot.
	holdWeight = 1.0 / 32
)

// planner computes the admission level from demand and capacity: the number of
// slots that the requests of each class would occupy and the number that there
// is. It doesn't rely on the queueing delay, since in a call tree a queue is
// observed too late to be avoided.
type planner struct {
	// holds is the mean time in seconds that a request of each kind holds a slot.
	holds map[string]float64
	// work is the slot time in seconds of this window's arrivals by class, each
	// weighted by the number of trees that it represents, refused ones included.
	work [classifier.NumClasses]float64
	// demand is the mean number of slots that each class would occupy if all of
	// its trees were admitted.
	demand [classifier.NumClasses]float64
	level  uint32
	last   time.Duration
}

func newPlanner() planner { return planner{holds: make(map[string]float64)} }

// hold returns the mean time that a request of a kind holds a slot, or 0 when it
// isn't known.
func (p *planner) hold(kind string) time.Duration {
	return time.Duration(p.holds[kind] * float64(time.Second))
}

// sample adds the time that a request held a slot to the mean of its kind.
func (p *planner) sample(kind string, held time.Duration) {
	s := held.Seconds()
	mean, ok := p.holds[kind]
	if !ok {
		if len(p.holds) >= maxKinds {
			return
		}
		mean = s
	}
	p.holds[kind] = mean + holdWeight*(s-mean)
}

// offer counts an arrival. It is weighted by the inverse of the share of its
// class that passed the level at the node where the tree began, so that it also
// represents the refused trees (Horvitz and Thompson 1952). The gate's own level
// can't give this share, since senders mix the levels of several gates.
func (p *planner) offer(r Request) {
	p.work[r.Class] += p.holds[r.Kind] / max(passing(r.Class, r.AppliedLevel), minPassing)
}

// endWindow computes the level. waiting is the slot time that the queued
// requests are expected to take.
func (p *planner) endWindow(now time.Duration, limit int, waiting time.Duration) {
	passed := now - p.last
	p.last = now
	if passed <= 0 {
		return
	}
	for c := range p.demand {
		// The demand of a class that is refused almost entirely can't be
		// estimated.
		if p.work[c] > 0 || passing(classifier.Class(c), p.level) >= minPassing {
			p.demand[c] += blend(passed, demandTime) * (p.work[c]/passed.Seconds() - p.demand[c])
		}
		p.work[c] = 0
	}
	p.level = p.plan(plannedShare*float64(limit) - waiting.Seconds()/drainTime.Seconds())
}

// plan returns the lowest level whose passing requests occupy at most room slots.
func (p *planner) plan(room float64) uint32 {
	for c := len(p.demand) - 1; c >= 0; c-- {
		if p.demand[c] <= room {
			room -= p.demand[c]
			continue
		}
		refused := 1 - max(room, 0)/p.demand[c]
		level := uint32(c)*levelsPerClass + uint32(math.Ceil(refused*levelsPerClass))
		return min(level, numLevels-1)
	}
	return 0
}

// passing returns the share of a class that a level lets pass.
func passing(c classifier.Class, level uint32) float64 {
	above := float64(c+1)*levelsPerClass - float64(level)
	return min(max(above/levelsPerClass, 0), 1)
}

// blend returns the weight of a sample that covers the time over in an
// exponential moving average with the time constant.
func blend(over, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(over)/float64(constant))
}
