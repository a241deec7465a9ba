package replicator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"crocustack/core/encoder"
	"crocustack/core/isolator"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/timekeeper"
)

const (
	// batchDelay is the time for which changes are collected before they are pushed:
	// one end of a server suspects all requests that it was running.
	batchDelay = 5 * time.Millisecond
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 1500 * time.Millisecond
	// maxRecords bounds the records of one message.
	maxRecords = 2048
)

// Replicator pushes the changes of a node's table of suspects to its neighbours. It is safe for concurrent use.
type Replicator struct {
	table    *quarantiner.Table
	links    *linker.Manager
	clock    timekeeper.Clock
	log      logr.Logger
	isolator *isolator.Isolator

	mu   sync.Mutex
	plan *planner
	// wake holds a value when the plan has changed.
	wake chan struct{}
}

// New returns a Replicator for the node with the given link address.
func New(self string, table *quarantiner.Table, links *linker.Manager, clock timekeeper.Clock, log logr.Logger, i *isolator.Isolator) *Replicator {
	return &Replicator{
		table: table, links: links, clock: clock, log: log, isolator: i, plan: newPlanner(self), wake: make(chan struct{}, 1),
	}
}

// SetMembers takes over the link addresses of the members of all services.
func (r *Replicator) SetMembers(addresses []string) {
	r.mu.Lock()
	r.plan.setMembers(r.clock.Now(), addresses)
	r.mu.Unlock()
	r.signal()
}

func (r *Replicator) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run pushes changes to the neighbours until ctx is done.
func (r *Replicator) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(r.begin(ctx))
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		case <-r.table.Changes():
			timekeeper.Sleep(ctx, batchDelay)
		}
	}
}

// begin starts the exchanges that are due and returns the time until the next one.
func (r *Replicator) begin(ctx context.Context) time.Duration {
	s := state{version: r.table.Version(), judged: r.table.Judged() > 0}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, address := range r.plan.begin(now, s) {
		pushed := r.plan.pushed(address)
		go func() {
			if !r.isolator.Run("replication", address, func() { r.push(ctx, address, pushed) }) {
				r.finish(address, 0, errors.New("panic"))
			}
		}()
	}
	if wait, ok := r.plan.wait(now, s); ok {
		return wait
	}
	return time.Hour // Something else wakes the loop before.
}

// push sends a peer what has changed after a version and merges what the peer knows
// besides.
func (r *Replicator) push(ctx context.Context, address string, pushed uint64) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	changed, version := r.table.ChangedSince(pushed, maxRecords)
	digests := r.table.Digests()
	reply, err := r.exchange(ctx, address, &encoder.Suspicions{Records: quarantiner.Messages(changed), Digests: digests[:]})
	if err == nil {
		err = r.table.MergeMessages(reply.GetRecords())
	}
	if err == nil && len(reply.GetDiffering()) > 0 {
		var buckets []int
		for _, n := range reply.GetDiffering() {
			buckets = append(buckets, int(n))
		}
		records := r.table.InBuckets(buckets, maxRecords)
		_, err = r.exchange(ctx, address, &encoder.Suspicions{Records: quarantiner.Messages(records)})
	}
	r.finish(address, version, err)
}

// finish records the end of an exchange.
func (r *Replicator) finish(address string, version uint64, err error) {
	r.mu.Lock()
	now, first := r.clock.Now(), false
	if err == nil {
		r.plan.succeed(now, address, version)
	} else {
		first = r.plan.fail(now, address)
	}
	r.mu.Unlock()
	if first {
		r.log.Info("suspects not replicated to a peer; retrying", "Peer", address, "Error", err.Error())
	}
	r.signal()
}

// exchange sends a message to a peer and returns the reply.
func (r *Replicator) exchange(ctx context.Context, address string, m *encoder.Suspicions) (*encoder.SuspicionsReply, error) {
	reply := &encoder.SuspicionsReply{}
	err := r.links.Exchange(ctx, address, &encoder.Request{Message: &encoder.Request_Suspicions{Suspicions: m}}, reply)
	return reply, err
}
