package watcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReleaseKey is the platform key of the release document.
const ReleaseKey = "release/current"

// InstancesPrefix and the name of a domain form the key of its instance list.
const InstancesPrefix = "instances/"

// Readers returns the addresses of the n live instances of a domain that rank
// highest by rendezvous hashing. When one instance joins or leaves, at most one
// reader changes.
func Readers(domain []Instance, n int) []string {
	type ranked struct {
		score   uint64
		address string
	}
	var rs []ranked
	for _, i := range domain {
		if i.State == StateLive {
			rs = append(rs, ranked{xxhash.Sum64String(i.Domain + "\x00" + i.Address), i.Address})
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	out := make([]string, 0, n)
	for _, r := range slices.CompactFunc(rs, func(a, b ranked) bool { return a.address == b.address })[:min(n, len(rs))] {
		out = append(out, r.address)
	}
	return out
}

// PlannerConfig holds the limits of a Planner. Zero fields take the defaults of
// DefaultPlannerConfig.
type PlannerConfig struct {
	Self, Domain string
	// Readers is the number of readers of a domain.
	Readers int
	// ReaderTimeout is the time without a message from any reader after which a
	// node reads the platform directly.
	ReaderTimeout time.Duration
	// MinInterval is the shortest interval between two direct reads of one key.
	MinInterval time.Duration
	// DirectRate bounds the direct reads per second of all nodes together.
	DirectRate float64
	// StartRate bounds the first reads per second when all nodes start at once.
	StartRate float64
	// FleetSize is the assumed number of instances while the list of the node's
	// own domain is unknown.
	FleetSize int
	// Wait is the duration of a watch.
	Wait time.Duration
	// MinBackoff and MaxBackoff bound the backoff after failed reads.
	// MaxBackoff is the longest delay of a note after the platform has
	// recovered; 264 watches that fail every 5 s are about 50 reads per second.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultPlannerConfig is sized for 3,000 instances and a platform that serves
// 2,000 reads per second.
var DefaultPlannerConfig = PlannerConfig{
	Readers: 2, ReaderTimeout: 10 * time.Second, MinInterval: 5 * time.Second, DirectRate: 1000, StartRate: 1500, FleetSize: 3000,
	Wait: 30 * time.Second, MinBackoff: time.Second, MaxBackoff: 5 * time.Second,
}

// Mode is the way in which a node obtains the value of one key.
type Mode int

// The modes.
const (
	ModeRelayed Mode = iota // The node receives updates from the readers of its domain.
	ModeWatch               // The node is a reader and watches the key.
	ModeDirect              // No reader is known to be alive; the node polls the key.
	ModeStart               // The first read after the start.
)

// Read is one read of a platform key.
type Read struct {
	Key string
	// After is the last version read; the platform answers with a later one.
	After uint64
	// Wait is the duration of the watch; 0 asks for an immediate answer.
	Wait time.Duration
}

// Result is the result of a read.
type Result int

// The results.
const (
	ResultValue     Result = iota // A value with a new version.
	ResultUnchanged               // No later version.
	ResultMissing                 // The platform has no such key.
	ResultFailed                  // No valid answer, or refused by the platform's rate limit.
)

type keyState struct {
	inFlight bool
	// answered is true once the platform has answered a read.
	answered        bool
	version         uint64
	startedAt, next time.Duration
	mode            Mode
	failures        int
}

// Planner decides which platform keys this node reads and when. It is not safe
// for concurrent use.
type Planner struct {
	cfg         PlannerConfig
	keys        map[string]*keyState
	memberCount int
	domains     []string
	readers     []string
	// lastMessage is the time of the last message from a reader.
	lastMessage time.Duration
	// hasRelease is true once the node's catalogue holds a release.
	hasRelease bool
}

// NewPlanner returns the planner of a node that starts now. draw is a uniform
// random number in [0, 1).
func NewPlanner(cfg PlannerConfig, now time.Duration, draw float64) *Planner {
	d := DefaultPlannerConfig
	cfg.Readers = cmp.Or(cfg.Readers, d.Readers)
	cfg.ReaderTimeout = cmp.Or(cfg.ReaderTimeout, d.ReaderTimeout)
	cfg.MinInterval = cmp.Or(cfg.MinInterval, d.MinInterval)
	cfg.DirectRate = cmp.Or(cfg.DirectRate, d.DirectRate)
	cfg.StartRate = cmp.Or(cfg.StartRate, d.StartRate)
	cfg.FleetSize = cmp.Or(cfg.FleetSize, d.FleetSize)
	cfg.Wait = cmp.Or(cfg.Wait, d.Wait)
	cfg.MinBackoff = cmp.Or(cfg.MinBackoff, d.MinBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, d.MaxBackoff)
	p := &Planner{cfg: cfg, keys: make(map[string]*keyState), lastMessage: now}
	spread := time.Duration(float64(cfg.FleetSize) / cfg.StartRate * float64(time.Second))
	p.keys[p.ownKey()] = &keyState{mode: ModeStart, next: now + scale(spread, draw)}
	// The release normally arrives from peers in the list of the own domain, so
	// its first read is delayed until they have had time to answer.
	p.keys[ReleaseKey] = &keyState{mode: ModeStart, next: now + spread + scale(2*spread, draw)}
	return p
}

func (p *Planner) ownKey() string { return InstancesPrefix + p.cfg.Domain }

// SetMembers sets the instances of the node's own domain, the names of all
// domains, and whether a release is known.
func (p *Planner) SetMembers(members []Instance, domains []string, hasRelease bool) {
	p.memberCount = len(members)
	p.domains = domains
	p.readers = Readers(members, p.cfg.Readers)
	p.hasRelease = hasRelease
}

// Readers returns the addresses of the readers of the node's own domain.
func (p *Planner) Readers() []string { return p.readers }

// IsReader reports whether this node is a reader of its domain.
func (p *Planner) IsReader() bool { return slices.Contains(p.readers, p.cfg.Self) }

// RecordMessage records the arrival of a message from the node with this
// address. Only messages from readers count.
func (p *Planner) RecordMessage(now time.Duration, address string) {
	if slices.Contains(p.readers, address) {
		p.lastMessage = now
	}
}

// ListAttempted reports whether the first read of the own domain's list was
// answered or has failed.
func (p *Planner) ListAttempted() bool {
	k := p.keys[p.ownKey()]
	return k.answered || k.failures > 0
}

// ReleaseUnavailable reports whether the last read of the release failed or
// found no such key.
func (p *Planner) ReleaseUnavailable() bool { return p.keys[ReleaseKey].failures > 0 }

// Mode returns the mode of a key at the given time.
func (p *Planner) Mode(now time.Duration, key string) Mode {
	own := key == ReleaseKey || key == p.ownKey()
	k := p.keys[key]
	switch {
	case p.IsReader():
		return ModeWatch
	case !own:
		return ModeRelayed
	case k != nil && !k.answered && k.failures == 0 && (key != ReleaseKey || !p.hasRelease):
		return ModeStart
	case p.memberCount == 0, now-p.lastMessage >= p.cfg.ReaderTimeout:
		return ModeDirect
	}
	return ModeRelayed
}

// interval returns the mean time between two direct reads of one key. All nodes
// together, with two keys each, then make at most DirectRate reads per second.
func (p *Planner) interval() time.Duration {
	n := p.memberCount * len(p.domains)
	if n == 0 {
		n = p.cfg.FleetSize
	}
	return max(p.cfg.MinInterval, time.Duration(float64(n)*2/p.cfg.DirectRate*float64(time.Second)))
}

// Next returns the reads to start now. draw returns uniform random numbers in
// [0, 1).
func (p *Planner) Next(now time.Duration, draw func() float64) []Read {
	keys := []string{ReleaseKey, p.ownKey()}
	if p.IsReader() {
		for _, d := range p.domains {
			if d != p.cfg.Domain {
				keys = append(keys, InstancesPrefix+d)
			}
		}
	}
	var out []Read
	for _, name := range keys {
		k := p.keys[name]
		if k == nil {
			k = &keyState{next: now}
			p.keys[name] = k
		}
		if mode := p.Mode(now, name); mode != k.mode {
			switch {
			case mode == ModeDirect:
				// Jitter keeps nodes that lose their readers at the same time
				// from reading at the same time.
				k.next = now + scale(p.interval(), draw())
			case mode == ModeWatch && k.failures == 0:
				k.next = now
			}
			k.mode = mode
		}
		if k.inFlight || k.mode == ModeRelayed || now < k.next {
			continue
		}
		k.inFlight, k.startedAt = true, now
		r := Read{Key: name, After: k.version}
		// The first read asks for an immediate answer: a watch of a missing key
		// after version 0 would delay the start needlessly.
		if k.mode == ModeWatch && k.version > 0 {
			r.Wait = p.cfg.Wait
		}
		out = append(out, r)
	}
	return out
}

// RecordResult records the result of a read. version is used only with
// ResultValue.
func (p *Planner) RecordResult(now time.Duration, key string, result Result, version uint64, draw float64) {
	k := p.keys[key]
	if k == nil {
		return
	}
	k.inFlight = false
	jitter := 0.75 + draw/2
	switch result {
	case ResultFailed, ResultMissing:
		k.answered = k.answered || result == ResultMissing
		pause := p.cfg.MaxBackoff
		if k.failures < 16 {
			pause = min(pause, p.cfg.MinBackoff<<k.failures)
		}
		k.failures++
		k.next = now + scale(pause, jitter)
	case ResultValue, ResultUnchanged:
		k.answered, k.failures = true, 0
		if result == ResultValue {
			k.version = version
		}
		// The minimum pause prevents a busy loop when the platform answers
		// watches immediately.
		k.next = max(now, k.startedAt+scale(p.cfg.MinBackoff, jitter))
	}
	if k.mode != ModeWatch {
		// The pause is never shorter than the interval, so that retries respect
		// the rate too. For the same reason jitter only lengthens it.
		k.next = max(k.next, now+scale(p.interval(), 1+draw/2))
	}
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
