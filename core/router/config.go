package router

import "time"

// Config holds the settings of a Router. Zero fields take the defaults.
type Config struct {
	// SubsetSize is the maximum number of upstreams of one service that this
	// node uses; default 8. A quarter of it is reserved for other domains.
	SubsetSize int
	// SpillFactor is the ratio of the lowest score in the node's own domain to
	// the score of a candidate in another domain above which requests spill
	// over to the other domain; default 1.5.
	SpillFactor float64
	// IdleSpillFactor replaces SpillFactor while the candidate in the node's own
	// domain has free capacity and does not fail; default 3. A somewhat faster
	// upstream is then no reason to send a request and its answer to another
	// domain, a several times slower one in the own domain is.
	IdleSpillFactor float64
	// CrossDomainCost is what it costs more to send a request to another domain, as a
	// fraction of what a request costs there. If it is above 0, a share of the requests
	// leaves the domain, which grows and falls steadily, and SpillFactor is not used.
	CrossDomainCost float64
	// SlowStart is the time over which the weight of a new upstream rises to 1;
	// default 10 s.
	SlowStart time.Duration
	// LeavingTime is how long a leaving upstream is avoided; default 60 s,
	// twice the default drain timeout. After that the address may belong to a
	// new instance.
	LeavingTime time.Duration
	// LastResort allows a leaving upstream to be chosen when there is no other
	// one, since it may still accept requests.
	LastResort bool
}

func (c Config) withDefaults() Config {
	if c.SubsetSize <= 0 {
		c.SubsetSize = 8
	}
	if c.SpillFactor <= 0 {
		c.SpillFactor = 1.5
	}
	if c.IdleSpillFactor <= 0 {
		c.IdleSpillFactor = 3
	}
	if c.SlowStart <= 0 {
		c.SlowStart = 10 * time.Second
	}
	if c.LeavingTime <= 0 {
		c.LeavingTime = time.Minute
	}
	return c
}
