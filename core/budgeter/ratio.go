package budgeter

import "sync"

// Ratio bounds the retries to one service to a share of its first attempts. It
// is a token bucket that is filled by first attempts, so the bound follows the
// load and needs no clock: when the calls stop, so do the retries. It is safe for
// concurrent use.
type Ratio struct {
	share, burst float64

	mu sync.Mutex
	// tokens is between 0 and burst, so the number of retries is at most burst
	// plus share × first attempts.
	tokens float64
}

// NewRatio returns a ratio that allows share retries for each first attempt and
// saves up to burst of them, at least 1. It starts with the full burst, since a
// service with few calls could otherwise not retry its first failures. A share of
// 0 or less allows no retries at all.
func NewRatio(share, burst float64) *Ratio {
	r := &Ratio{share: max(share, 0), burst: max(burst, 1)}
	if share > 0 {
		r.tokens = r.burst
	}
	return r
}

// Deposit counts one first attempt and adds share tokens.
func (r *Ratio) Deposit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+r.share, r.burst)
}

// TryRetry takes one token and reports whether there was one.
func (r *Ratio) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Ten deposits of 0.1 sum to slightly less than 1 in floating point.
	const rounding = 1e-9
	if r.tokens < 1-rounding {
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}
