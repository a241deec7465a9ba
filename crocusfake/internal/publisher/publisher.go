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

// MaxValue is the platform's maximum size of a value in bytes.
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
	// Rate is the maximum number of requests per second from all readers; 0
	// means 2000.
	Rate float64
	// Lag is the delay until a changed instance appears in the lists.
	Lag time.Duration
}

// Counts holds the numbers of reads, watches and rate-limited requests since the
// start, and of watches that are waiting.
type Counts struct {
	Reads, Watches, Limited, Pending int
}

// Publisher stores the keys. It is safe for concurrent use.
type Publisher struct {
	limiter *rate.Limiter
	lag     time.Duration

	mu sync.Mutex
	// history contains all values of each key; version n is at index n-1.
	history map[string][][]byte
	// staleVersions contains the version served for each key while the store is
	// stale, and is nil otherwise.
	staleVersions map[string]int
	down          bool
	slow          time.Duration
	counts        Counts
	// changed is closed and replaced whenever the result of a read may have
	// changed.
	changed   chan struct{}
	instances map[string]Instance
}

// New returns an empty publisher.
func New(cfg Config) *Publisher {
	if cfg.Rate == 0 {
		cfg.Rate = 2000
	}
	return &Publisher{
		// A burst of 0.1 s of requests allows for readers that start together.
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
	p.addVersion(key, value)
	return nil
}

// SetInstance adds or updates the instance with the given address. The lists
// contain the change after the lag.
func (p *Publisher) SetInstance(in Instance) error {
	return p.changeInstances(in.Domain, func() { p.instances[in.Address] = in })
}

// RemoveInstance removes an instance from the lists after the lag.
func (p *Publisher) RemoveInstance(address string) error {
	p.mu.Lock()
	domain := p.instances[address].Domain
	p.mu.Unlock()
	return p.changeInstances(domain, func() { delete(p.instances, address) })
}

// SetInstances adds or updates instances and publishes the lists immediately,
// without lag.
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

// SetDown makes every request, including pending watches, end without an answer
// while down is true.
func (p *Publisher) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// SetStale serves each key as it was behind versions ago and ignores later
// changes until SetFresh is called.
func (p *Publisher) SetStale(behind int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleVersions = make(map[string]int)
	for k, h := range p.history {
		p.staleVersions[k] = max(1, len(h)-behind)
	}
	p.notifyWatchers()
}

// SetFresh ends SetStale.
func (p *Publisher) SetFresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleVersions = nil
	p.notifyWatchers()
}

// SetSlow delays every answer by d.
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

// publishDomain publishes the instance list of a domain. The caller must hold
// p.mu.
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
	p.addVersion("instances/"+domain, b)
	return nil
}

// addVersion adds a version of a key. The caller must hold p.mu.
func (p *Publisher) addVersion(key string, value []byte) {
	p.history[key] = append(p.history[key], slices.Clone(value))
	p.notifyWatchers()
}

// notifyWatchers makes pending watches check for a change. The caller must hold
// p.mu.
func (p *Publisher) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentValue returns the value and version served for a key, or version 0 if
// the key does not exist. The caller must hold p.mu.
func (p *Publisher) currentValue(key string) ([]byte, int) {
	h := p.history[key]
	version := len(h)
	if p.staleVersions != nil {
		version = p.staleVersions[key]
	}
	if version == 0 {
		return nil, 0
	}
	return h[version-1], version
}
