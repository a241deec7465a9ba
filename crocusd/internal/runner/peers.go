package runner

import (
	"crocustack/core/encoder"
	"crocustack/core/informer"
	"crocustack/core/linker"
	"crocustack/core/releaser"
	"crocustack/crocusd/internal/handler"
)

// Hello implements linker.Handler.
func (n *Node) Hello() *encoder.Hello {
	s := n.source.current.Load()
	number, _ := s.catalogue.Number()
	return &encoder.Hello{
		Incarnation: handler.IncarnationMessage(n.self), Domain: n.cfg.Node.Domain, Region: n.cfg.Node.Region,
		CatalogueDigest: s.catalogue.Digest(), NoteNumber: number, Draining: n.handler.Draining(),
	}
}

// Opened implements linker.Handler.
func (n *Node) Opened(l *linker.Link) {
	if l.Peer().GetDraining() {
		n.peerLeaving(l)
		return
	}
	n.router.ClearLeaving(n.clock.Now(), l.Address())
}

// Closed implements linker.Handler.
func (n *Node) Closed(*linker.Link, error) {}

// Stream implements linker.Handler.
func (n *Node) Stream(l *linker.Link, s *linker.Stream) { n.handler.Stream(l, s) }

// Control implements linker.Handler.
func (n *Node) Control(l *linker.Link, m *encoder.Control) {
	switch m.GetMessage().(type) {
	case *encoder.Control_Leaving:
		n.peerLeaving(l)
	}
}

func (n *Node) peerLeaving(l *linker.Link) {
	n.router.MarkLeaving(n.clock.Now(), l.Address())
	n.forward.Leaving(l.Address())
}

// Status implements administrator.Node.
func (n *Node) Status() informer.Status {
	s := n.source.current.Load()
	number, digest := s.catalogue.Number()
	return informer.Status{
		Service: n.self.Service, Address: n.self.Address, BootID: informer.Digest(n.self.BootID),
		Domain: n.cfg.Node.Domain, Region: n.cfg.Node.Region, Started: n.started,
		Note:      informer.Stamp{Number: number, Digest: informer.Digest(digest)},
		Catalogue: informer.Digest(s.catalogue.Digest()), Draining: n.handler.Draining(), Limits: n.Limits(),
	}
}

// Links implements administrator.Node.
func (n *Node) Links() []informer.Link {
	links := []informer.Link{}
	for _, l := range n.links.Links() {
		p := l.Peer()
		read, written := l.Traffic()
		links = append(links, informer.Link{
			Address: l.Address(), Service: p.GetIncarnation().GetService(), Domain: p.GetDomain(),
			BootID: informer.Digest(p.GetIncarnation().GetBootId()), Streams: int(l.Pending()), Opened: l.Since,
			BytesRead: read, BytesWritten: written,
		})
	}
	return links
}

// Limits implements administrator.Node.
func (n *Node) Limits() informer.Limits {
	ld := n.handler.Load()
	return informer.Limits{Limit: ld.Limit, InFlight: ld.InFlight, Queued: ld.Queued, Level: ld.Level}
}

// Release implements administrator.Node.
func (n *Node) Release() []byte {
	return releaser.Document(releaser.Note{}, n.source.current.Load().catalogue)
}
