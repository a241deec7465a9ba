package measurer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"crocustack/core/watcher"
	"crocustack/crocusd/internal/synchronizer"
)

// platformReadRate is the rate of reads per second, and the burst, above which
// the platform refuses reads.
const platformReadRate = 2000

// Platform simulates the platform's configuration service.
type Platform struct {
	// Reads counts all reads, Refused those refused by the rate limit.
	Reads, Refused atomic.Uint64

	limiter     *rate.Limiter
	mu          sync.Mutex
	values      map[string]watcher.Value
	changed     chan struct{}
	down        bool
	partitioned map[string]bool
}

// NewPlatform returns a Platform without keys.
func NewPlatform() *Platform {
	return &Platform{
		limiter: rate.NewLimiter(platformReadRate, platformReadRate), values: make(map[string]watcher.Value),
		changed: make(chan struct{}), partitioned: make(map[string]bool),
	}
}

// Put stores a new version of a value.
func (p *Platform) Put(key string, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = watcher.Value{Bytes: b, Version: p.values[key].Version + 1}
	p.wakeReads()
}

// SetDown starts or ends an outage, during which all reads fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeReads()
}

// SetPartitioned starts or ends a partition of one domain from the platform,
// during which its reads fail.
func (p *Platform) SetPartitioned(domain string, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[domain] = partitioned
	p.wakeReads()
}

// wakeReads makes waiting reads check the values and outages again.
func (p *Platform) wakeReads() {
	close(p.changed)
	p.changed = make(chan struct{})
}

type platformClient struct {
	p      *Platform
	domain string
}

// Client returns the synchronizer.Platform of the nodes of a domain.
func (p *Platform) Client(domain string) synchronizer.Platform { return &platformClient{p, domain} }

// Get implements synchronizer.Platform.
func (c *platformClient) Get(ctx context.Context, r watcher.Read) (watcher.Value, watcher.Result, error) {
	p := c.p
	p.Reads.Add(1)
	if !p.limiter.Allow() {
		p.Refused.Add(1)
		return watcher.Value{}, watcher.ResultFailed, errors.New("rate limit of the platform exceeded")
	}
	timeout := time.NewTimer(r.Wait + time.Millisecond)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		v, ok := p.values[r.Key]
		failed, changed := p.down || p.partitioned[c.domain], p.changed
		p.mu.Unlock()
		switch {
		case failed:
			return watcher.Value{}, watcher.ResultFailed, errors.New("platform not reachable")
		case !ok:
			return watcher.Value{}, watcher.ResultMissing, nil
		case v.Version > r.After:
			return v, watcher.ResultValue, nil
		}
		select {
		case <-ctx.Done():
			return watcher.Value{}, watcher.ResultFailed, ctx.Err()
		case <-timeout.C:
			return watcher.Value{}, watcher.ResultUnchanged, nil
		case <-changed:
		}
	}
}
