package budgeter

import "sync"

// Pool is the retry allowance of one running request: the number of additional
// attempts that the request and all calls below it may still make. It is safe
// for concurrent use.
type Pool struct {
	mu sync.Mutex
	// held + lent + spent is the initial allowance at all times. Only held units
	// can be spent or lent; lent units were passed along with attempts that have
	// not been answered; spent never decreases.
	held, lent, spent uint32
}

// NewPool returns a pool that holds initial units.
func NewPool(initial uint32) *Pool {
	return &Pool{held: initial}
}

// LendHalf lends half of the held units, rounded up, to be passed along with one
// attempt. Rounding up lets a chain of calls pass on a single unit. Every share
// must be returned by exactly one call of Return.
func (p *Pool) LendHalf() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.held - p.held/2
	p.held -= n
	p.lent += n
	return n
}

// Return returns the share lent to one attempt. The unspent part is held again
// and the rest counts as spent. unspent must be 0 for an attempt that was never
// answered, since its share may have been spent further down the tree. The
// values come from another node, so lent is clipped to the units that are
// currently lent and unspent to lent; neither can create units.
func (p *Pool) Return(lent, unspent uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent = min(lent, p.lent)
	unspent = min(unspent, lent)
	p.lent -= lent
	p.held += unspent
	p.spent += lent - unspent
}

// Spend spends one unit for a retry and reports whether there was one. It must
// be called before the retry is sent.
func (p *Pool) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == 0 {
		return false
	}
	p.held--
	p.spent++
	return true
}

// Held returns the units that are neither lent nor spent. When the request is
// answered, this is its unspent allowance.
func (p *Pool) Held() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}
