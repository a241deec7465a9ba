package admitter

import (
	"math"
	"math/rand/v2"
	"time"

	"crocustack/core/classifier"
)

const simStep = 250 * time.Microsecond

// stream is a Poisson stream of requests of one class and kind.
type stream struct {
	class  classifier.Class
	kind   string
	rate   float64 // Requests per second.
	cancel float64 // Share of the admitted requests that are cancelled half way.

	offered, good, refused int // Since the end of the warm-up.
}

// backend returns the latency of a request that starts with n in flight, itself
// included, or false when it refuses the request.
type backend func(now time.Duration, kind string, n int, rng *rand.Rand) (time.Duration, bool)

type completion struct {
	id     uint64
	stream *stream
	result Result
}

// sim is a discrete-event simulation of one gate and its backend server.
type sim struct {
	a       *Admitter
	rng     *rand.Rand
	serve   backend
	streams map[uint64]*stream
	pending map[time.Duration][]completion // By the step of completion.
}

func (s *sim) apply(now time.Duration, ds []Decision) {
	for _, d := range ds {
		d, ok := d.(Admit)
		if !ok {
			continue
		}
		c := completion{id: d.ID, stream: s.streams[d.ID]}
		var served bool
		c.result.Latency, served = s.serve(now, c.stream.kind, s.a.Load().InFlight, s.rng)
		c.result.Refused = !served
		if s.rng.Float64() < c.stream.cancel {
			c.result.Latency /= 2
			c.result.Cancelled = true
		}
		at := (now + c.result.Latency).Truncate(simStep) + simStep
		s.pending[at] = append(s.pending[at], c)
	}
}

// run simulates until end and calls observe after each tick.
func (s *sim) run(warmUp, end time.Duration, streams []*stream, observe func(now time.Duration)) {
	s.streams, s.pending = map[uint64]*stream{}, map[time.Duration][]completion{}
	var id uint64
	for now := time.Duration(0); now < end; now += simStep {
		for _, c := range s.pending[now] {
			if c.result.Refused {
				c.stream.refused++
			} else if !c.result.Cancelled {
				c.stream.good++
			}
			s.apply(now, s.a.Release(now, c.id, c.result))
		}
		delete(s.pending, now)
		for _, st := range streams {
			if now == warmUp {
				st.offered, st.good, st.refused = 0, 0, 0
			}
			for range poisson(s.rng, st.rate*simStep.Seconds()) {
				id++
				st.offered++
				s.streams[id] = st
				s.apply(now, s.a.Offer(now, Request{ID: id, Class: st.class, Kind: st.kind, TreeID: id}))
			}
		}
		if now%(10*time.Millisecond) == 0 {
			s.apply(now, s.a.Tick(now))
			observe(now)
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}
