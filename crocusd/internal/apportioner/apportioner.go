package apportioner

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/rationer"
	"crocustack/core/timekeeper"
)

const (
	// askTimeout bounds one exchange with a home, which is some milliseconds away.
	askTimeout = 150 * time.Millisecond
	// maxStocks is the number of organisations at which idle stocks are forgotten.
	maxStocks = 4096
)

// Config holds the settings of an Apportioner.
type Config struct {
	rationer.Config
	// Self is the link address of this node, and Domain its failure domain.
	Self, Domain string
	// Handover is how long the successor of a home waits: as long as a node in touch with
	// the store takes to learn that it is no home any more.
	Handover time.Duration
	// Fresh reports whether this node has read the store recently enough to give out
	// tokens.
	Fresh func() bool
}

// stock is the stock of one organisation and the exchange that is under way for it.
type stock struct {
	*rationer.Stock
	// asking is closed at the end of the exchange with a home; nil if there is none.
	asking chan struct{}
}

// Apportioner applies the rate limits of organisations. It is safe for concurrent use.
type Apportioner struct {
	cfg      Config
	links    *linker.Manager
	clock    timekeeper.Clock
	registry metrics.Registry

	mu     sync.Mutex
	homes  rationer.Homes
	limits map[string]rationer.Limit
	issuer *rationer.Issuer
	stocks map[string]*stock
	// counted holds the organisations that have counters of their own.
	counted map[string]bool
}

// New returns an Apportioner without organisations.
func New(cfg Config, links *linker.Manager, clock timekeeper.Clock, registry metrics.Registry) *Apportioner {
	return &Apportioner{
		cfg: cfg, links: links, clock: clock, registry: registry, issuer: rationer.NewIssuer(0),
		limits: make(map[string]rationer.Limit), stocks: make(map[string]*stock), counted: make(map[string]bool),
	}
}

// SetOrganisations takes over the limits of a configuration.
func (a *Apportioner) SetOrganisations(organisations []connector.Organisation) {
	limits := make(map[string]rationer.Limit)
	for _, o := range organisations {
		if o.RatePerSecond > 0 {
			limits[o.Name] = rationer.Limit{PerSecond: o.RatePerSecond, Burst: o.Burst}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// SetHomes takes over the nodes of each domain.
func (a *Apportioner) SetHomes(h rationer.Homes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.homes
	a.homes = h
	if h.SameNodes(before, a.cfg.Domain) {
		return
	}
	openAt := a.clock.Now() + a.cfg.Handover
	if before.Nodes() == 0 {
		// After a start, the home before was most likely the process that has ended.
		openAt = a.clock.Now()
	}
	a.issuer.MoveHomes(openAt, func(organisation string) bool {
		return h.Home(organisation, a.cfg.Domain) == a.cfg.Self
	})
}

// Acquire gets a token for a request of an organisation. If the organisation has
// reached its limit, ok is false and wait is the time until a home may have a token.
func (a *Apportioner) Acquire(ctx context.Context, organisation string) (ok bool, wait time.Duration) {
	s := a.countedStock(organisation)
	if s == nil {
		a.count(organisation, true)
		return true, 0
	}
	for ctx.Err() == nil {
		decision, asking := a.take(organisation, s)
		switch d := decision.(type) {
		case rationer.Taken:
			a.count(organisation, true)
			return true, 0
		case rationer.Limited:
			a.count(organisation, false)
			return false, d.Wait
		case rationer.Ask:
			if asking == nil {
				a.ask(organisation, s, d)
				continue
			}
			select {
			case <-ctx.Done():
			case <-asking:
			}
		}
	}
	a.count(organisation, false)
	return false, 0
}

// countedStock returns the stock of an organisation and counts a request towards its
// demand, or returns nil if the organisation has no limit.
func (a *Apportioner) countedStock(organisation string) *stock {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, limited := a.limits[organisation]; !limited {
		return nil
	}
	s, ok := a.stocks[organisation]
	if !ok {
		if len(a.stocks) >= maxStocks {
			a.forgetIdle()
		}
		s = &stock{Stock: rationer.NewStock(a.cfg.Config)}
		a.stocks[organisation] = s
	}
	s.Count(a.clock.Now())
	return s
}

func (a *Apportioner) forgetIdle() {
	now := a.clock.Now()
	for name, s := range a.stocks {
		if s.asking == nil && s.Idle(now) {
			delete(a.stocks, name)
		}
	}
}

// take decides on a request. After Ask, asking is the exchange that is under way, or
// nil if the caller has to make it.
func (a *Apportioner) take(organisation string, s *stock) (d rationer.Decision, asking <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d = s.Take(a.clock.Now(), a.limits[organisation], a.homes.Domains(a.cfg.Domain), a.homes.Nodes())
	if _, ok := d.(rationer.Ask); !ok {
		return d, nil
	}
	if s.asking != nil {
		return d, s.asking
	}
	s.asking = make(chan struct{})
	return d, nil
}

// ask asks a home for tokens. It doesn't end with the request that caused it, as
// others wait for it too.
func (a *Apportioner) ask(organisation string, s *stock, d rationer.Ask) {
	a.mu.Lock()
	home := a.homes.Home(organisation, d.Domain)
	a.mu.Unlock()
	asked := a.clock.Now()
	reply, err := a.exchange(home, &encoder.Take{Organisation: organisation, Want: uint32(d.Want)})
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if err != nil || reply.GetNotHome() {
		s.Fail(now, d.Domain)
	} else {
		s.Receive(now, asked, d.Domain, int(reply.GetGranted()), time.Duration(reply.GetWaitMicros())*time.Microsecond)
	}
	close(s.asking)
	s.asking = nil
}

// exchange sends a request for tokens to a home and returns its reply.
func (a *Apportioner) exchange(home string, m *encoder.Take) (*encoder.TakeReply, error) {
	if home == a.cfg.Self {
		return a.Serve(m), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply := &encoder.TakeReply{}
	err := a.links.Exchange(ctx, home, &encoder.Request{Message: &encoder.Request_Take{Take: m}}, reply)
	return reply, err
}

// Serve answers a request for tokens of an organisation whose home this node is.
func (a *Apportioner) Serve(m *encoder.Take) *encoder.TakeReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, limited := a.limits[m.GetOrganisation()]
	if !limited || !a.cfg.Fresh() || a.homes.Home(m.GetOrganisation(), a.cfg.Domain) != a.cfg.Self {
		return &encoder.TakeReply{NotHome: true}
	}
	n, wait := a.issuer.Issue(a.clock.Now(), m.GetOrganisation(), l.Share(a.homes.Shares()), int(m.GetWant()))
	return &encoder.TakeReply{Granted: uint32(n), WaitMicros: uint64(wait.Microseconds())}
}

// maxCounted bounds the organisations that have counters of their own. All others share
// those of otherOrganisations.
const (
	maxCounted         = 128
	otherOrganisations = "Other"
)

// count counts a request that was admitted, or refused because of the limit.
func (a *Apportioner) count(organisation string, admitted bool) {
	a.mu.Lock()
	if !a.counted[organisation] {
		if len(a.counted) < maxCounted {
			a.counted[organisation] = true
		} else {
			organisation = otherOrganisations
		}
	}
	a.mu.Unlock()
	what := "Limited"
	if admitted {
		what = "Admitted"
	}
	metrics.GetOrRegisterCounter("Organisation."+organisation+"."+what, a.registry).Inc(1)
}
