package handler

import (
	"context"
	"time"

	"crocustack/core/admitter"
	"crocustack/core/encoder"
	"crocustack/core/linker"
)

const (
	// senderTime is how long after its last request a peer is notified.
	senderTime = 5 * time.Second
	// maxNoticeKinds bounds the kinds of a notice that are read.
	maxNoticeKinds = 64
)

// NotifySenders announces the levels of this gate to the nodes that send it
// requests, until ctx is done.
func (h *Handler) NotifySenders(ctx context.Context, links *linker.Manager) {
	ticker := time.NewTicker(admitter.NoticeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if n := h.notice(); len(n.GetKinds()) > 0 {
				links.NotifySenders(now.Add(-senderTime), &encoder.Control{Message: &encoder.Control_Notice{Notice: n}})
			}
		}
	}
}

// notice returns the notice that is due now; it may hold no kinds.
func (h *Handler) notice() *encoder.Notice {
	own := h.admission.load().Level
	h.noticesMu.Lock()
	defer h.noticesMu.Unlock()
	n := &encoder.Notice{}
	for _, due := range h.notices.Due(h.clock.Now(), func(k admitter.GateKind) uint32 { return h.effectiveLevel(k.Name, own) }) {
		n.Kinds = append(n.Kinds, &encoder.KindLevel{Service: due.Kind.Service, Kind: due.Kind.Name, Level: due.Level})
	}
	return n
}

// ObserveNotice applies the notice of a gate that this node sends requests to.
func (h *Handler) ObserveNotice(n *encoder.Notice) {
	kinds := n.GetKinds()
	for _, k := range kinds[:min(len(kinds), maxNoticeKinds)] {
		h.levels.Observe(h.clock.Now(), k.GetService(), k.GetKind(), k.GetLevel())
	}
}
