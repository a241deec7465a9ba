package runner

import (
	"cmp"
	"slices"

	"crocustack/core/encoder"
	"crocustack/core/informer"
	"crocustack/core/linker"
	"crocustack/core/releaser"
	"crocustack/core/watcher"
	"crocustack/crocusd/internal/handler"
)

// Hello implements linker.Handler.
func (n *Node) Hello() *encoder.Hello {
	h := n.sync.Hello()
	h.Incarnation = handler.IncarnationMessage(n.self)
	h.Draining = n.handler.Draining()
	return h
}

// Opened implements linker.Handler.
func (n *Node) Opened(l *linker.Link) {
	if l.Peer().GetDraining() {
		n.peerLeaving(l.Address())
	} else {
		n.router.ClearLeaving(n.clock.Now(), l.Address())
	}
	if l.Address() != n.self.Address {
		n.sync.Opened(l.Peer())
	}
}

// Closed implements linker.Handler.
func (n *Node) Closed(l *linker.Link, _ error) {
	// The peer may have been replaced. Tickets of the previous incarnation are
	// not accepted by the new one.
	n.forward.DropTickets(l.Address())
	if n.links.Lookup(l.Address()) == nil {
		n.sync.Closed(l.Address())
	}
}

// Stream implements linker.Handler.
func (n *Node) Stream(l *linker.Link, s *linker.Stream) { n.handler.Stream(l, s) }

// Control implements linker.Handler.
func (n *Node) Control(l *linker.Link, m *encoder.Control) {
	if notice := m.GetNotice(); notice != nil {
		n.handler.ObserveNotice(notice)
		return
	}
	n.sync.Received(l.Address(), m)
}

func (n *Node) peerLeaving(address string) {
	n.router.MarkLeaving(n.clock.Now(), address)
	n.forward.DropTickets(address)
}

// Status implements administrator.Node.
func (n *Node) Status() informer.Status {
	s := n.sync.Snapshot()
	number, digest := s.Catalogue.HighestStamp()
	status := informer.Status{
		Service: n.self.Service, Address: n.self.Address, BootID: informer.Digest(n.self.BootID),
		Domain: n.cfg.Node.Domain, Region: n.cfg.Node.Region, Started: n.started,
		Note: informer.Stamp{Number: number, Digest: informer.Digest(digest)}, Since: n.started.Add(s.Since),
		Catalogue: informer.Digest(s.Catalogue.Digest()), Draining: n.handler.Draining(), Reader: s.Reader,
		Limits: n.Limits(),
	}
	for _, c := range s.View.Conflicts {
		status.Concurrent = append(status.Concurrent, informer.Stamp{Number: c.Number, Digest: informer.Digest(c.Digest)})
	}
	for _, g := range s.View.Gaps {
		status.Missing = append(status.Missing, informer.Stamp{Number: g.Number, Digest: informer.Digest(g.Digest)})
	}
	for name := range s.View.Services {
		for _, i := range s.Table.Service(name) {
			status.Upstreams = append(status.Upstreams, informer.Upstream{
				Service: i.Service, Address: i.Address, Domain: i.Domain, Leaving: i.State == watcher.StateLeaving,
			})
		}
	}
	slices.SortFunc(status.Upstreams, func(a, b informer.Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return status
}

// Links implements administrator.Node.
func (n *Node) Links() []informer.Link {
	links := []informer.Link{}
	for _, l := range n.links.Links() {
		p := l.Peer()
		read, written := l.Traffic()
		links = append(links, informer.Link{
			Address: l.Address(), Service: p.GetIncarnation().GetService(), Domain: p.GetDomain(),
			BootID: informer.Digest(p.GetIncarnation().GetBootId()), Streams: int(l.Pending()), Opened: l.OpenedAt,
			BytesRead: read, BytesWritten: written,
		})
	}
	return links
}

// Limits implements administrator.Node.
func (n *Node) Limits() informer.Limits {
	ld := n.handler.Load()
	limits := informer.Limits{Slots: n.slots(n.view()), Limit: ld.Limit, InFlight: ld.InFlight, Queued: ld.Queued, Level: ld.Level,
		RateLimit: ld.RateLimit, RateLoad: ld.RateLoad}
	for _, l := range n.levels.All(n.clock.Now()) {
		limits.Levels = append(limits.Levels, informer.Level(l))
	}
	slices.SortFunc(limits.Levels, func(a, b informer.Level) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return limits
}

// Release implements administrator.Node.
func (n *Node) Release() []byte {
	return releaser.Document(releaser.Note{}, n.sync.Snapshot().Catalogue)
}
