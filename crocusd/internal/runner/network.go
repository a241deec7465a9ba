package runner

import (
	"context"

	"crocustack/core/encoder"
	"crocustack/core/linker"
)

// network sends control messages over links. It implements
// synchronizer.Network.
type network struct{ links *linker.Manager }

// Send implements synchronizer.Network.
func (w network) Send(address string, m *encoder.Control) error {
	l, err := w.links.Get(context.Background(), address)
	if err != nil {
		return err
	}
	return l.SendControl(m)
}

// Peers implements synchronizer.Network.
func (w network) Peers() []*encoder.Hello {
	var peers []*encoder.Hello
	for _, l := range w.links.Links() {
		peers = append(peers, l.Peer())
	}
	return peers
}
