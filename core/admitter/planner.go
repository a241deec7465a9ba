package admitter

import (
	"math"
	"time"

	"crocustack/core/classifier"
)

const (
	// targetUtilization is the share of the limit that the planner aims to keep
	// busy. The rest keeps the queue short when arrivals vary.
	targetUtilization = 0.96
	// demandTimeConstant is the time constant with which demand is averaged.
	demandTimeConstant = 400 * time.Millisecond
	// queueDrainTime is the time within which the queued requests should get a
	// slot.
	queueDrainTime = 500 * time.Millisecond
	// minPassingShare is the smallest passing share of a class from which its
	// demand can be estimated. It bounds the weight of one arrival.
	minPassingShare = 1.0 / 16
	// serviceTimeWeight is the weight of one sample in the mean service time.
	serviceTimeWeight = 1.0 / 32
)

// planner computes the admission level from demand and capacity: the number of
// slots that the requests of each class would occupy and the number available.
// It doesn't rely on the queueing delay, since in a call tree a queue is
// observed too late to be avoided.
type planner struct {
	// serviceTimes holds the mean service time of each kind in seconds: the time
	// for which a request holds a slot.
	serviceTimes map[string]float64
	// work is the service time in seconds of this window's arrivals by class,
	// each weighted by the number of trees that it represents, refused ones
	// included.
	work [classifier.NumClasses]float64
	// arrivals is the number of this window's arrivals, weighted alike, and
	// arrivalRate its mean a second.
	arrivals    float64
	arrivalRate float64
	// demand is the mean number of slots that each class would occupy if all of
	// its trees were admitted.
	demand [classifier.NumClasses]float64
	level  uint32
	// rateLevel is the level from the rate limit of the backend server, for the
	// requests that have no other upstream; at least level.
	rateLevel  uint32
	lastUpdate time.Duration
}

func newPlanner() planner { return planner{serviceTimes: make(map[string]float64)} }

// serviceTime returns the mean service time of a kind, or 0 when it isn't known.
func (p *planner) serviceTime(kind string) time.Duration {
	return time.Duration(p.serviceTimes[kind] * float64(time.Second))
}

// sample updates the mean service time of a kind.
func (p *planner) sample(kind string, serviceTime time.Duration) {
	s := serviceTime.Seconds()
	mean, ok := p.serviceTimes[kind]
	if !ok {
		if len(p.serviceTimes) >= maxKinds {
			return
		}
		mean = s
	}
	p.serviceTimes[kind] = mean + serviceTimeWeight*(s-mean)
}

// offer counts an arrival. It is weighted by the inverse of the share of its
// class that passed the level at the node where the tree began, so that it also
// represents the refused trees (Horvitz and Thompson 1952). The gate's own level
// can't give this share, since senders mix the levels of several gates.
func (p *planner) offer(r Request) {
	weight := 1 / max(PassingShare(r.Class, r.AppliedLevel), minPassingShare)
	p.work[r.Class] += weight * p.serviceTimes[r.Kind]
	p.arrivals += weight
}

// endWindow computes the levels. limit is the number of slots and queuedWork the
// expected service time of all queued requests. rateBound is the rate limit in
// requests a second from which the rate level is computed, or 0 for none.
func (p *planner) endWindow(now time.Duration, limit int, rateBound float64, queuedWork time.Duration) {
	elapsed := now - p.lastUpdate
	p.lastUpdate = now
	if elapsed <= 0 {
		return
	}
	for c := range p.demand {
		// The demand of a class that is refused almost entirely can't be
		// estimated.
		if p.work[c] > 0 || PassingShare(classifier.Class(c), p.level) >= minPassingShare {
			p.demand[c] += ewmaWeight(elapsed, demandTimeConstant) * (p.work[c]/elapsed.Seconds() - p.demand[c])
		}
		p.work[c] = 0
	}
	p.arrivalRate += ewmaWeight(elapsed, demandTimeConstant) * (p.arrivals/elapsed.Seconds() - p.arrivalRate)
	p.arrivals = 0
	queued := queuedWork.Seconds() / queueDrainTime.Seconds()
	p.level = p.plan(targetUtilization*float64(limit) - queued)
	p.rateLevel = p.level
	if rateBound > 0 {
		slots := min(float64(limit), p.slotsAtRate(rateBound))
		p.rateLevel = p.plan(targetUtilization*slots - queued)
	}
}

// slotsAtRate returns the number of slots that the present mix of requests occupies
// at the given number of requests a second.
func (p *planner) slotsAtRate(perSecond float64) float64 {
	total := 0.0
	for _, d := range p.demand {
		total += d
	}
	if p.arrivalRate <= 0 {
		return total
	}
	return total * perSecond / p.arrivalRate
}

// plan returns the lowest level whose passing requests fit into the slots.
func (p *planner) plan(slots float64) uint32 {
	for c := len(p.demand) - 1; c >= 0; c-- {
		if p.demand[c] <= slots {
			slots -= p.demand[c]
			continue
		}
		refused := 1 - max(slots, 0)/p.demand[c]
		level := uint32(c)*levelsPerClass + uint32(math.Ceil(refused*levelsPerClass))
		return min(level, numLevels-1)
	}
	return 0
}

// PassingShare returns the share of the trees of a class that a level lets pass.
func PassingShare(c classifier.Class, level uint32) float64 {
	above := float64(c+1)*levelsPerClass - float64(level)
	return min(max(above/levelsPerClass, 0), 1)
}

// ewmaWeight returns the weight of a sample that covers the elapsed time in an
// exponentially weighted moving average with the time constant.
func ewmaWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}
