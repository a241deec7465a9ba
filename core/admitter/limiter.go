package admitter

import (
	"math"
	"time"
)

const (
	// groupSize is the number of consecutive samples of a kind in a group, of
	// which only the minimum is used. The minimum hides requests that are slow
	// for reasons other than load, as long as half of the requests are not.
	groupSize = 8
	// minGroups is the smallest number of groups in a latency measurement. With
	// exponentially distributed latency, the standard deviation of a measurement
	// of minGroups groups is 25%.
	minGroups = 16
	// maxKinds bounds the number of kinds that are tracked separately; further
	// kinds share their statistics.
	maxKinds = 64

	// latencyTolerance is the latency, as a multiple of the baseline, up to
	// which the limit isn't lowered.
	latencyTolerance = 2.0
	// noiseRatio is the multiple of the baseline up to which a higher latency
	// counts as normal variation and raises the baseline. It is well below
	// latencyTolerance, so that a lasting overload doesn't become the new
	// baseline.
	noiseRatio = 1.5
	// The baseline is the mean of the first baselineMeasurements measurements.
	// Later it moves by baselineFall of the distance to a lower measurement and
	// by baselineRise of the distance to a higher one. A plain minimum would
	// stay at the lowest outlier.
	baselineMeasurements = 8
	baselineFall         = 0.1
	baselineRise         = 0.01

	// gradientThreshold is the gradient below which latency may lower the
	// limit. A single slow kind out of many leaves the gradient above it.
	gradientThreshold = 0.9
	// A confirmed high latency lowers the limit to testCutRatio of its value.
	// If the latency doesn't fall below testSuccessRatio of its value,
	// concurrency isn't the cause: otherwise it would fall in proportion to the
	// limit.
	testCutRatio     = 0.6
	testSuccessRatio = 0.8
	// A latency of more than risingRatio times the previous one is measured
	// again before the limit is cut, since a further rise would hide the effect
	// of the cut.
	risingRatio = 1.2
	// settleFactor is the time, in mean latencies, for which samples are
	// discarded after a change of the limit. The requests admitted under the new
	// limit that complete earlier are the fastest of them, so their samples
	// would look like an improvement.
	settleFactor = 3
	minSettle    = 20 * time.Millisecond
	maxSettle    = 2 * time.Second
	// minMeasureTime is the shortest duration of a measurement that is compared
	// with an earlier one.
	minMeasureTime = 300 * time.Millisecond
	// meanLatencyWeight is the weight of one sample in the mean latency.
	meanLatencyWeight = 1.0 / 64
	// minLimitShare is the lowest limit that latency alone sets, as a share of
	// the slots.
	minLimitShare = 0.05
	// testTimeout ends a test in which too few requests complete.
	testTimeout = 2 * time.Second

	// cubicCoefficient is the coefficient of the cubic function by which the
	// limit recovers, in slots per slot and cubic second. The limit grows from
	// 1 slot to all of them in about 2 s.
	cubicCoefficient = 0.2
	// rampStartShare is the share of the slots that the limit allows directly
	// after a cold start.
	rampStartShare = 0.1
)

// latencyStats tracks the latency of one kind, in seconds.
type latencyStats struct {
	// The samples since the last measurement: their number and sum, the minimum
	// of the current group and the sum of the minima of the complete groups.
	samples  int
	sum      float64
	groupMin float64
	minSum   float64

	baseline     float64 // The usual value of last without overload.
	measurements int     // The number of measurements averaged into baseline.
	completed    bool    // last and mean were measured in the current window.
	last         float64 // The latest measurement: the mean of the group minima.
	// mean is the mean of all samples of the latest measurement; reference is
	// the mean to compare it with, from the last call of settle or 0. The mean
	// varies less than the group minima and so is better for comparing two
	// measurements. It depends more on the mix of requests, which changes over
	// a longer time, so the baseline uses the minima.
	mean, reference float64
}

func (s *latencyStats) add(latency float64) {
	if s.samples%groupSize == 0 || latency < s.groupMin {
		s.groupMin = latency
	}
	s.sum += latency
	if s.samples++; s.samples%groupSize == 0 {
		s.minSum += s.groupMin
	}
}

func (s *latencyStats) discard() {
	s.samples, s.sum, s.minSum = 0, 0, 0
}

// complete ends the measurement if there are enough samples and returns their
// number, or else 0.
func (s *latencyStats) complete() int {
	n := s.samples
	s.completed = n >= groupSize*minGroups
	if !s.completed {
		return 0
	}
	s.mean = s.sum / float64(n)
	s.last = s.minSum / float64(n/groupSize)
	s.discard()
	switch {
	case s.measurements < baselineMeasurements:
		s.measurements++
		s.baseline += (s.last - s.baseline) / float64(s.measurements)
	case s.last < s.baseline:
		s.baseline += baselineFall * (s.last - s.baseline)
	case s.last < noiseRatio*s.baseline:
		s.baseline += baselineRise * (s.last - s.baseline)
	}
	return n
}

// stage is the state of the test that determines whether a high latency is
// caused by the concurrency.
type stage int

const (
	stageNormal  stage = iota
	stageConfirm       // One measurement was high and is repeated; the limit doesn't grow.
	stageCut           // The limit was cut and the effect is measured.
)

// limiter is the adaptive concurrency limit.
type limiter struct {
	slots float64
	// fixed keeps the limit at slots regardless of latencies and refusals.
	fixed bool
	// limit is between 1 and slots.
	limit float64
	// lastEffective is the latest result of effective.
	lastEffective int

	started            bool
	rampFrom, rampTime time.Duration

	stats map[string]*latencyStats
	// meanLatency is the mean latency of all kinds in seconds.
	meanLatency float64
	// settledAt is the time until which samples are discarded.
	settledAt      time.Duration
	stage          stage
	limitBeforeCut float64 // The limit before the last cut.

	// The limit grows along cubicCoefficient × slots × (t - plateau)³ + ceiling
	// as in TCP CUBIC, where t is the time since epoch in seconds: fast up to
	// ceiling, the limit before it was lowered, slowly around it and fast
	// beyond it.
	epoch   time.Duration
	ceiling float64
	plateau float64
}

func newLimiter(slots int, rampTime time.Duration) limiter {
	l := limiter{slots: float64(slots), limit: float64(slots), rampTime: rampTime, stats: make(map[string]*latencyStats)}
	l.lastEffective = l.effective(0)
	return l
}

func (l *limiter) start(now time.Duration) {
	if !l.started {
		l.started = true
		l.restart(now)
	}
}

func (l *limiter) restart(now time.Duration) {
	l.rampFrom = now
	l.lastEffective = l.effective(now)
}

func (l *limiter) setSlots(now time.Duration, slots int) {
	l.slots = float64(slots)
	l.setLimit(now, min(l.limit, l.slots), l.limit)
	l.lastEffective = l.effective(now)
}

// effective returns the number of requests that may be in flight.
func (l *limiter) effective(now time.Duration) int {
	n := l.limit
	if l.fixed {
		l.lastEffective = max(int(l.slots), 1)
		return l.lastEffective
	}
	if elapsed := now - l.rampFrom; elapsed < l.rampTime {
		n = min(n, l.slots*max(rampStartShare, float64(elapsed)/float64(l.rampTime)))
	}
	l.lastEffective = max(int(n), 1)
	return l.lastEffective
}

// setLimit lowers or restores the limit and starts the growth towards ceiling.
func (l *limiter) setLimit(now time.Duration, limit, ceiling float64) {
	l.limit = min(max(limit, 1), l.slots)
	l.ceiling = min(max(ceiling, l.limit), l.slots)
	l.epoch = now
	l.plateau = math.Cbrt((l.ceiling - l.limit) / (cubicCoefficient * l.slots))
}

func (l *limiter) grow(now time.Duration) {
	t := (now - l.epoch).Seconds() - l.plateau
	l.limit = min(max(l.limit, l.ceiling+cubicCoefficient*l.slots*t*t*t), l.slots)
}

// statsFor returns the statistics of a kind. Kinds beyond maxKinds share those
// of the empty kind.
func (l *limiter) statsFor(kind string) *latencyStats {
	s, ok := l.stats[kind]
	if !ok {
		if len(l.stats) >= maxKinds && kind != "" {
			return l.statsFor("")
		}
		s = &latencyStats{}
		l.stats[kind] = s
	}
	return s
}

func (l *limiter) sample(now time.Duration, stats *latencyStats, latency time.Duration) {
	s := max(latency, time.Microsecond).Seconds()
	if l.meanLatency == 0 {
		l.meanLatency = s
	}
	l.meanLatency += meanLatencyWeight * (s - l.meanLatency)
	if now >= l.settledAt {
		stats.add(s)
	}
}

// refused lowers the limit by one, but not below n-1, where n is the number of
// requests that were in flight with the refused one, itself included. After a
// burst into a server with few slots, the refusals lower the limit to what the
// server can hold; a single refusal for another reason costs one slot.
func (l *limiter) refused(now time.Duration, n int) {
	l.stage = stageNormal
	if l.fixed {
		return
	}
	if limit := float64(l.effective(now)); limit >= float64(n) {
		l.setLimit(now, limit-1, limit)
	}
}

// endWindow evaluates the latencies and adjusts the limit. peak is the largest
// number of requests in flight since the last call.
func (l *limiter) endWindow(now time.Duration, peak int) {
	current := float64(l.effective(now))
	var gradient, change float64
	ok := l.stage == stageNormal || now >= l.settledAt+minMeasureTime
	if ok {
		gradient, change, ok = l.evaluate()
	}
	switch {
	case !ok:
		if now-l.settledAt > testTimeout {
			l.endTest(now, l.limit)
		}
	case gradient >= gradientThreshold || float64(peak) < current/2:
		// The latency is normal, or the load is not bounded by the limit.
		l.endTest(now, l.limit)
	case l.stage == stageNormal, l.stage == stageConfirm && change > risingRatio:
		l.stage = stageConfirm
		l.settle(now)
	case l.stage == stageCut && (change > testSuccessRatio || l.limit <= l.floor()):
		l.rebase()
		l.endTest(now, l.limitBeforeCut)
		l.settle(now)
	default:
		l.stage, l.limitBeforeCut = stageCut, current
		l.setLimit(now, min(max(testCutRatio*current, l.floor()), l.limit), l.limit)
		l.settle(now)
	}
	if l.stage == stageNormal {
		l.grow(now)
	}
	l.lastEffective = l.effective(now)
}

// endTest lets the limit grow again, from the given value if it was cut.
func (l *limiter) endTest(now time.Duration, limit float64) {
	if l.stage == stageCut {
		l.setLimit(now, limit, limit)
	}
	l.stage = stageNormal
}

// settle stores the latest mean latencies for comparison and discards samples
// until requests that were admitted under the current limit complete.
func (l *limiter) settle(now time.Duration) {
	wait := time.Duration(settleFactor * l.meanLatency * float64(time.Second))
	l.settledAt = now + min(max(wait, minSettle), maxSettle)
	for _, s := range l.stats {
		s.discard()
		s.reference = 0
		if s.completed {
			s.reference = s.mean
		}
	}
}

func (l *limiter) floor() float64 {
	return max(1, minLimitShare*l.slots)
}

// evaluate returns the gradient, the ratio of the tolerated latency to the
// latest one and at most 1, and the change, the ratio of the latest latency to
// the reference. Both are means over the kinds weighted by the number of
// samples, so that one slow kind doesn't decide for all. ok is false when no
// kind has enough samples.
func (l *limiter) evaluate() (gradient, change float64, ok bool) {
	var weight, referenceWeight float64
	for _, s := range l.stats {
		w := float64(s.complete())
		if w == 0 {
			continue
		}
		gradient += w * min(1, latencyTolerance*s.baseline/s.last)
		weight += w
		if s.reference > 0 {
			change += w * s.mean / s.reference
			referenceWeight += w
		}
	}
	if weight == 0 {
		return 1, 1, false
	}
	if referenceWeight == 0 {
		return gradient / weight, 1, true
	}
	return gradient / weight, change / referenceWeight, true
}

// rebase makes the latest latencies the baselines where they are higher.
func (l *limiter) rebase() {
	for _, s := range l.stats {
		if s.completed && s.last > s.baseline {
			s.baseline, s.measurements = s.last, 1
		}
	}
}
