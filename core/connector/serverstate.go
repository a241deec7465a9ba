package connector

import (
	"math"
	"strconv"
	"strings"
)

// ServerState is what a response of the backend server states about the server
// itself.
type ServerState struct {
	// RateLimited is true if the backend server states a rate limit. RateLimit is
	// then the number of requests a second that it accepts from all callers
	// together, at least 0.
	RateLimited bool
	RateLimit   float64
	// Leaving is true if the backend server is about to exit and is to get no new
	// work.
	Leaving bool
}

// WithRateLimit returns the state with the rate limit that a header states as a
// decimal number of requests a second. An empty value or one that is not a finite
// number of at least 0 states no limit.
func (s ServerState) WithRateLimit(text string) ServerState {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	s.RateLimited = err == nil && limit >= 0 && !math.IsInf(limit, 0)
	s.RateLimit = 0
	if s.RateLimited {
		s.RateLimit = limit
	}
	return s
}
