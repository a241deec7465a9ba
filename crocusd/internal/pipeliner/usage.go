package pipeliner

import (
	"context"
	"time"
)

const (
	// usageTime is the time over which requests of a connection are counted.
	usageTime = time.Second
	// heavyFactor is how many times the mean of all connections with requests a heavy
	// one has, and heavyRequests the number below which none is heavy.
	heavyFactor   = 4
	heavyRequests = 20
)

// usage counts the requests of a connection in periods of usageTime.
type usage struct {
	period        int64
	now, previous int
}

// count counts a request in a period and returns the number of requests in this and the
// last period, and whether it is the first of this one.
func (u *usage) count(period int64) (n int, first bool) {
	if u.period != period {
		u.previous = 0
		if u.period == period-1 {
			u.previous = u.now
		}
		u.period, u.now, first = period, 0, true
	}
	u.now++
	return u.now + u.previous, first
}

// totals counts the requests and the active connections of all in periods.
type totals struct {
	requests, active usage
}

// countRequest counts a request of a connection. It reports whether the connection sends
// so many requests that, where there is too little room, those of others come first.
func (s *Server) countRequest(u *usage) (heavy bool) {
	s.usageMu.Lock()
	defer s.usageMu.Unlock()
	period := time.Now().UnixNano() / int64(usageTime)
	n, first := u.count(period)
	requests, _ := s.totals.requests.count(period)
	active := s.totals.active.now + s.totals.active.previous
	if first {
		active, _ = s.totals.active.count(period)
	}
	return n > heavyRequests && n*max(active, 1) > heavyFactor*requests
}

type heavyKey struct{}

func withHeavy(ctx context.Context, heavy bool) context.Context {
	if !heavy {
		return ctx
	}
	return context.WithValue(ctx, heavyKey{}, true)
}

// Heavy reports whether a request comes on a connection that sends many times as many
// requests as others do.
func Heavy(ctx context.Context) bool { return ctx.Value(heavyKey{}) != nil }
