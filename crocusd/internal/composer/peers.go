package composer

import (
	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/crocusd/internal/handler"
)

// Hello implements linker.Handler.
func (n *Node) Hello() *encoder.Hello {
	return &encoder.Hello{
		Incarnation: handler.IncarnationMessage(n.self), Domain: n.cfg.Node.Domain, Region: n.cfg.Node.Region,
		Draining: n.leaving.Load(),
	}
}

// Opened implements linker.Handler.
func (n *Node) Opened(l *linker.Link) {
	if l.Peer().GetDraining() {
		n.router.MarkLeaving(n.clock.Now(), l.Address())
		return
	}
	n.router.ClearLeaving(n.clock.Now(), l.Address())
}

// Closed implements linker.Handler. It also clears the leaving mark, because
// the peer's process may be restarting: the next connection shows whether it
// can be used.
func (n *Node) Closed(l *linker.Link, err error) {
	if n.links.Lookup(l.Address()) == nil {
		n.router.MarkUnreachable(n.clock.Now(), l.Address())
		n.router.ClearLeaving(n.clock.Now(), l.Address())
	}
	n.log.Info("link closed", "Peer", l.Address(), "Error", err.Error())
}

// Stream implements linker.Handler.
func (n *Node) Stream(l *linker.Link, s *linker.Stream) { n.handler.Stream(l, s) }

// Control implements linker.Handler.
func (n *Node) Control(l *linker.Link, m *encoder.Control) {
	switch m := m.GetMessage().(type) {
	case *encoder.Control_Leaving:
		n.router.MarkLeaving(n.clock.Now(), l.Address())
	case *encoder.Control_Notice:
		n.handler.ObserveNotice(m.Notice)
	}
}
