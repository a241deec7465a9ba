package spreader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/watcher"
)

// Config configures a Spreader. Zero fields take the values of DefaultConfig.
type Config struct {
	Self string
	// Successors and Random are the numbers of control peers in the node's own
	// failure domain: successors on the hash ring and randomly chosen members.
	// Remote is the number of control peers in other domains.
	Successors, Random, Remote int
	// MaxSeen is the maximum number of seen stamps that are kept.
	MaxSeen int
	// SuspicionTimeout is how long an unreachable peer is not selected.
	SuspicionTimeout time.Duration
	// RotationInterval is the time between two selections of the random peers.
	// They are chosen again so that a poorly connected graph of peers does not
	// persist.
	RotationInterval time.Duration
	// OutOfScopeProbability is the probability with which an instance record is
	// forwarded to a peer whose scope does not hold it or is unknown. Peers
	// whose scope holds the record always get it.
	OutOfScopeProbability float64
	// ForwardAll forwards every record to every control peer, as a baseline for
	// measurements.
	ForwardAll bool
}

// DefaultConfig gives each node four control peers in its own domain and one in
// another domain.
var DefaultConfig = Config{
	Successors: 2, Random: 2, Remote: 1, MaxSeen: 4096, SuspicionTimeout: 30 * time.Second, RotationInterval: 60 * time.Second, OutOfScopeProbability: 0.5,
}

// Spreader selects the peers that updates are sent to. It is not safe for
// concurrent use.
type Spreader struct {
	cfg           Config
	random        *rand.Rand
	local, remote []string
	peers         []string
	lastRotation  time.Duration
	suspects      map[string]time.Duration
	// seen and order hold the stamps of the latest updates. order is a ring
	// buffer; oldest is the index of its oldest stamp.
	seen   map[uint64]bool
	order  []uint64
	oldest int
	// turn counts the calls of Partner.
	turn int
}

// New returns a Spreader without peers.
func New(cfg Config, seed uint64) *Spreader {
	d := DefaultConfig
	cfg.Successors = cmp.Or(cfg.Successors, d.Successors)
	cfg.Random = cmp.Or(cfg.Random, d.Random)
	cfg.Remote = cmp.Or(cfg.Remote, d.Remote)
	cfg.MaxSeen = cmp.Or(cfg.MaxSeen, d.MaxSeen)
	cfg.SuspicionTimeout = cmp.Or(cfg.SuspicionTimeout, d.SuspicionTimeout)
	cfg.RotationInterval = cmp.Or(cfg.RotationInterval, d.RotationInterval)
	cfg.OutOfScopeProbability = cmp.Or(cfg.OutOfScopeProbability, d.OutOfScopeProbability)
	return &Spreader{
		cfg: cfg, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(cfg.Self))),
		suspects: make(map[string]time.Duration), seen: make(map[uint64]bool),
	}
}

// SetMembers sets the addresses of the node's own domain and of the known
// instances in other domains. Control peers that are still members are kept.
func (s *Spreader) SetMembers(now time.Duration, local, remote []string) {
	s.local, s.remote = ringOrder(local), remote
	s.choosePeers(now, s.peers)
}

// RecordFailure records that a peer could not be reached.
func (s *Spreader) RecordFailure(now time.Duration, address string) {
	s.suspects[address] = now
	if slices.Contains(s.peers, address) {
		s.choosePeers(now, s.peers)
	}
}

// Tick removes expired suspicions and chooses the random peers again once per
// rotation interval.
func (s *Spreader) Tick(now time.Duration) {
	for a, t := range s.suspects {
		if now-t >= s.cfg.SuspicionTimeout {
			delete(s.suspects, a)
		}
	}
	if now-s.lastRotation >= s.cfg.RotationInterval {
		s.lastRotation = now
		s.choosePeers(now, nil)
	}
}

// Peers returns the control peers.
func (s *Spreader) Peers() []string { return s.peers }

// ringOrder returns the distinct addresses in the order of the hash ring.
func ringOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

func (s *Spreader) usable(now time.Duration, address string) bool {
	t, suspect := s.suspects[address]
	return address != s.cfg.Self && (!suspect || now-t >= s.cfg.SuspicionTimeout)
}

// choosePeers selects as control peers the ring successors of this node, then
// random members of its own domain and of other domains. Members in keep are
// preferred to other random members.
func (s *Spreader) choosePeers(now time.Duration, keep []string) {
	var peers []string
	take := func(from []string, n int) {
		for _, a := range from {
			if n == 0 {
				return
			}
			if s.usable(now, a) && !slices.Contains(peers, a) {
				peers = append(peers, a)
				n--
			}
		}
	}
	start, _ := slices.BinarySearchFunc(s.local, s.cfg.Self, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	take(append(slices.Clone(s.local[start:]), s.local[:start]...), s.cfg.Successors)
	take(s.shuffled(s.local, keep), s.cfg.Random)
	take(s.shuffled(s.remote, keep), s.cfg.Remote)
	s.peers = peers
}

// shuffled returns the members that are in keep, then the others in random
// order.
func (s *Spreader) shuffled(members, keep []string) []string {
	out := slices.Clone(members)
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(index(keep, a), index(keep, b))
	})
	return out
}

func index(list []string, a string) int {
	if i := slices.Index(list, a); i >= 0 {
		return i
	}
	return len(list)
}

// MarkSeen records a stamp and reports whether it is not among the latest ones
// seen. An evicted stamp counts as new: the update is forwarded once more and
// changes no state.
func (s *Spreader) MarkSeen(stamp uint64) bool {
	if s.seen[stamp] {
		return false
	}
	if len(s.order) < s.cfg.MaxSeen {
		s.order = append(s.order, stamp)
	} else {
		delete(s.seen, s.order[s.oldest])
		s.order[s.oldest] = stamp
		s.oldest = (s.oldest + 1) % s.cfg.MaxSeen
	}
	s.seen[stamp] = true
	return true
}

// Stamp returns the stamp of an instance record for MarkSeen.
func Stamp(i watcher.Instance) uint64 {
	var b [8]byte
	for k := range b {
		b[k] = byte(i.Version >> (8 * k))
	}
	return xxhash.Sum64String(i.Service + "\x00" + i.Address + "\x00" + i.State.String() + "\x00" + string(b[:]))
}

// ReleasePeers returns the peers that release items are forwarded to: all
// control peers except from, because every node needs the release.
func (s *Spreader) ReleasePeers(from string) []string {
	return s.peersExcept(from, func(string) bool { return true })
}

// InstancePeers returns the peers that a record of the cell is forwarded to;
// from is left out. scope returns the scope of a peer, and false when it is
// unknown.
func (s *Spreader) InstancePeers(from string, c watcher.Cell, scope func(string) (watcher.Scope, bool)) []string {
	return s.peersExcept(from, func(a string) bool {
		if s.cfg.ForwardAll {
			return true
		}
		sc, known := scope(a)
		return known && sc.Holds(c) || s.random.Float64() < s.cfg.OutOfScopeProbability
	})
}

func (s *Spreader) peersExcept(from string, keep func(string) bool) []string {
	var out []string
	for _, p := range s.peers {
		if p != from && keep(p) {
			out = append(out, p)
		}
	}
	return out
}

// Partner returns the peer to compare digests with next, or "" when there is
// none. The turns cycle through the domain's readers, the control peers, the
// peers that share an interest, and the control peers again: only readers and
// peers that share an interest hold the records of other domains. With two
// readers and one turn per second, a live reader is chosen at least every 8 s,
// also when the other one is down.
func (s *Spreader) Partner(now time.Duration, sharing, readers []string) string {
	turn := s.turn
	s.turn++
	first, at := s.peers, -1
	switch turn % 4 {
	case 0:
		first, at = readers, turn/4
	case 2:
		first = sharing
	}
	for _, list := range [][]string{first, s.peers, readers} {
		usable := make([]string, 0, len(list))
		for _, a := range list {
			if s.usable(now, a) {
				usable = append(usable, a)
			}
		}
		if len(usable) == 0 {
			continue
		}
		if at >= 0 {
			return usable[at%len(usable)]
		}
		return usable[s.random.IntN(len(usable))]
	}
	return ""
}
