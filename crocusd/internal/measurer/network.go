package measurer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
	"crocustack/crocusd/internal/synchronizer"
)

// messageOverhead is added to the size of each message: 12 bytes of yamux
// header and 40 bytes of TCP/IP headers.
const messageOverhead = 12 + 40

// Network connects synchronizers in memory. Messages are delayed as between
// instances of one region. The network can be partitioned between failure
// domains.
type Network struct {
	// Messages and Bytes count the messages sent and their bytes, handshakes
	// included; Updates counts only the bytes of updates.
	Messages, Bytes, Updates atomic.Uint64

	mu          sync.Mutex
	members     map[string]*member
	links       map[string]map[string]bool
	partitioned map[string]bool // Domains partitioned from all others.
	loss        float64
}

type member struct {
	sync   *synchronizer.Synchronizer
	domain string
	// bytes counts the bytes that this member sent and received.
	bytes atomic.Uint64
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{members: make(map[string]*member), links: make(map[string]map[string]bool), partitioned: make(map[string]bool)}
}

// endpoint implements synchronizer.Network for one node.
type endpoint struct {
	n       *Network
	address string
	domain  string
}

// Endpoint returns the synchronizer.Network of the node at an address.
func (n *Network) Endpoint(address, domain string) synchronizer.Network {
	return &endpoint{n, address, domain}
}

// Join adds a node to the network.
func (n *Network) Join(address, domain string, s *synchronizer.Synchronizer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[address] = &member{sync: s, domain: domain}
	n.links[address] = make(map[string]bool)
}

// Leave removes a node and closes its links.
func (n *Network) Leave(address string) {
	n.mu.Lock()
	var peers []*synchronizer.Synchronizer
	for p := range n.links[address] {
		delete(n.links[p], address)
		peers = append(peers, n.members[p].sync)
	}
	delete(n.links, address)
	delete(n.members, address)
	n.mu.Unlock()
	for _, p := range peers {
		p.Closed(address)
	}
}

// Links returns the mean and the highest number of links per node.
func (n *Network) Links() (mean float64, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, l := range n.links {
		total += len(l)
		peak = max(peak, len(l))
	}
	return float64(total) / float64(max(len(n.links), 1)), peak
}

// TakePeakBytes returns the highest number of bytes sent and received by one
// node and resets the counters of all nodes.
func (n *Network) TakePeakBytes() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peak uint64
	for _, m := range n.members {
		peak = max(peak, m.bytes.Swap(0))
	}
	return peak
}

func (n *Network) count(from, to *member, m proto.Message) {
	size := uint64(proto.Size(m) + 1 + messageOverhead)
	n.Messages.Add(1)
	n.Bytes.Add(size)
	from.bytes.Add(size)
	to.bytes.Add(size)
}

// Send implements synchronizer.Network.
func (e *endpoint) Send(address string, m *encoder.Control) error {
	n := e.n
	n.mu.Lock()
	from, to := n.members[e.address], n.members[address]
	if from == nil || to == nil || (from.domain != to.domain && (n.partitioned[from.domain] || n.partitioned[to.domain])) {
		n.mu.Unlock()
		return errors.Newf("%s is not reachable", address)
	}
	newLink := !n.links[e.address][address]
	n.links[e.address][address], n.links[address][e.address] = true, true
	lost := n.loss > 0 && rand.Float64() < n.loss
	n.mu.Unlock()
	if newLink {
		a, b := from.sync.Hello(), to.sync.Hello()
		n.count(from, to, a)
		n.count(to, from, b)
		from.sync.Opened(b)
		to.sync.Opened(a)
	}
	n.count(from, to, m)
	if m.GetUpdate() != nil {
		n.Updates.Add(uint64(proto.Size(m) + 1 + messageOverhead))
	}
	if lost {
		return nil
	}
	// The message is encoded and decoded so that the measured processor time
	// includes it.
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	delay := 250 * time.Microsecond
	if from.domain != to.domain {
		delay = 1500 * time.Microsecond
	}
	time.AfterFunc(delay, func() {
		var got encoder.Control
		if err := proto.Unmarshal(b, &got); err == nil {
			to.sync.Received(e.address, &got)
		}
	})
	return nil
}

// Peers implements synchronizer.Network.
func (e *endpoint) Peers() []*encoder.Hello {
	e.n.mu.Lock()
	var peers []*synchronizer.Synchronizer
	for _, a := range slices.Sorted(maps.Keys(e.n.links[e.address])) {
		peers = append(peers, e.n.members[a].sync)
	}
	e.n.mu.Unlock()
	var out []*encoder.Hello
	for _, p := range peers {
		out = append(out, p.Hello())
	}
	return out
}

// SetPartitioned partitions a domain from all others and closes the links between
// them, or ends the partition.
func (n *Network) SetPartitioned(domain string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[domain] = partitioned
	type linkEnd struct {
		sync *synchronizer.Synchronizer
		peer string
	}
	var closed []linkEnd
	for a, l := range n.links {
		for b := range l {
			if partitioned && n.members[a].domain == domain && n.members[b].domain != domain {
				delete(l, b)
				delete(n.links[b], a)
				closed = append(closed, linkEnd{n.members[a].sync, b}, linkEnd{n.members[b].sync, a})
			}
		}
	}
	n.mu.Unlock()
	for _, c := range closed {
		c.sync.Closed(c.peer)
	}
}

// SetLoss sets the probability with which a message is lost.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}
