package publisher

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"golang.org/x/time/rate"
)

// MaxValue is the platform's bound on the size of one value.
const MaxValue = 1 << 20

// Instance is one entry of the list instances/<domain>.
type Instance struct {
	Service string `yaml:"Service" json:"Service"`
	Address string `yaml:"Address" json:"Address"`
	Domain  string `yaml:"Domain" json:"Domain"`
	Region  string `yaml:"Region" json:"Region"`
	// State is Live or Leaving.
	State string `yaml:"State" json:"State"`
}

// Config sets the limits of the platform.
type Config struct {
	// Rate is the number of calls per second over all readers; 0 means 2000.
	Rate float64
	// Lag is the time until a change of an instance shows in the lists.
	Lag time.Duration
}

// Counts reports the calls since the start.
type Counts struct {
	Reads, Watches, Limited, Pending int
}

// Publisher holds the keys. It is safe for concurrent use.
type Publisher struct {
	limiter *rate.Limiter
	lag     time.Duration

	mu sync.Mutex
	// history holds all values of each key; version n is at index n-1.
	history map[string][][]byte
	// frozen holds the version served for each key while stale; nil otherwise.
	frozen map[string]int
	down   bool
	slow   time.Duration
	counts Counts
	// changed is closed and replaced whenever an answer to a read may differ.
	changed   chan struct{}
	instances map[string]Instance
}

// New returns a publisher without keys.
func New(cfg Config) *Publisher {
	if cfg.Rate == 0 {
		cfg.Rate = 2000
	}
	return &Publisher{
		// A burst of a tenth of a second absorbs readers that start together.
		limiter:   rate.NewLimiter(rate.Limit(cfg.Rate), max(1, int(cfg.Rate/10))),
		lag:       cfg.Lag,
		history:   make(map[string][][]byte),
		changed:   make(chan struct{}),
		instances: make(map[string]Instance),
	}
}

// Put adds a new version of a key.
func (p *Publisher) Put(key string, value []byte) error {
	if len(value) > MaxValue {
		return errors.Newf("value of %s has %d bytes, the limit is %d", key, len(value), MaxValue)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(key, value)
	return nil
}

// SetInstance adds or changes an instance, keyed by its address. The lists
// show it after the lag.
func (p *Publisher) SetInstance(in Instance) error {
	return p.changeInstances(in.Domain, func() { p.instances[in.Address] = in })
}

// RemoveInstance takes an instance off the lists after the lag.
func (p *Publisher) RemoveInstance(address string) error {
	p.mu.Lock()
	domain := p.instances[address].Domain
	p.mu.Unlock()
	return p.changeInstances(domain, func() { delete(p.instances, address) })
}

// SetInstances publishes whole lists at once, without lag.
func (p *Publisher) SetInstances(ins ...Instance) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := make(map[string]bool)
	for _, in := range ins {
		p.instances[in.Address] = in
		domains[in.Domain] = true
	}
	for d := range domains {
		if err := p.publishDomain(d); err != nil {
			return err
		}
	}
	return nil
}

// SetDown makes every call, pending watches included, end without an answer.
func (p *Publisher) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale serves each key as it was `behind` versions ago, without any later
// change, until SetFresh.
func (p *Publisher) SetStale(behind int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = make(map[string]int)
	for k, h := range p.history {
		p.frozen[k] = max(1, len(h)-behind)
	}
	p.wake()
}

// SetFresh ends SetStale.
func (p *Publisher) SetFresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	p.wake()
}

// SetSlow delays every answer.
func (p *Publisher) SetSlow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Counts returns the counts so far.
func (p *Publisher) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Publisher) changeInstances(domain string, change func()) error {
	apply := func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		change()
		return p.publishDomain(domain)
	}
	if p.lag == 0 {
		return apply()
	}
	time.AfterFunc(p.lag, func() { _ = apply() })
	return nil
}

// publishDomain needs the mutex.
func (p *Publisher) publishDomain(domain string) error {
	list := make([]Instance, 0, len(p.instances))
	for _, a := range slices.Sorted(maps.Keys(p.instances)) {
		if p.instances[a].Domain == domain {
			list = append(list, p.instances[a])
		}
	}
	b, err := yaml.Marshal(list)
	if err != nil {
		return errors.Wrapf(err, "encode instances of %s", domain)
	}
	p.put("instances/"+domain, b)
	return nil
}

// put needs the mutex.
func (p *Publisher) put(key string, value []byte) {
	p.history[key] = append(p.history[key], slices.Clone(value))
	p.wake()
}

// wake needs the mutex.
func (p *Publisher) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current needs the mutex. It returns version 0 when there is no such key.
func (p *Publisher) current(key string) ([]byte, int) {
	h := p.history[key]
	version := len(h)
	if p.frozen != nil {
		version = p.frozen[key]
	}
	if version == 0 {
		return nil, 0
	}
	return h[version-1], version
}
