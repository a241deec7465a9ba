package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// noticeLifetime is how long after its last request a kind is announced. It is
	// longer than a level without reports stays above 0 at an entry node.
	noticeLifetime = 5 * time.Second
	// maxNoticeKinds bounds the kinds that a gate announces.
	maxNoticeKinds = 64
)

// GateKind is a kind of request that a gate receives.
type GateKind struct{ Service, Name string }

// Notice holds the level of a kind to announce.
type Notice struct {
	Kind  GateKind
	Level uint32
}

// Notices decides which levels a gate announces to the nodes that send it
// requests: those above 0 at each interval, and a fall to 0 once. It is not safe
// for concurrent use.
type Notices struct {
	// lastSeen holds the time of the last request of each kind, for at most
	// maxNoticeKinds kinds.
	lastSeen map[GateKind]time.Duration
	// announced holds the kinds whose level was above 0 in the last notice.
	announced map[GateKind]bool
}

// NewNotices returns a Notices that has seen no request.
func NewNotices() *Notices {
	return &Notices{lastSeen: make(map[GateKind]time.Duration), announced: make(map[GateKind]bool)}
}

// Seen records a request of a kind.
func (n *Notices) Seen(now time.Duration, k GateKind) {
	if _, ok := n.lastSeen[k]; ok || len(n.lastSeen) < maxNoticeKinds {
		n.lastSeen[k] = now
	}
}

// Due returns the notices to send now, sorted by kind. current returns the level
// of a kind.
func (n *Notices) Due(now time.Duration, current func(GateKind) uint32) []Notice {
	var due []Notice
	for k, at := range n.lastSeen {
		if now-at > noticeLifetime {
			delete(n.lastSeen, k)
			delete(n.announced, k)
			continue
		}
		level := current(k)
		if level > 0 || n.announced[k] {
			due = append(due, Notice{Kind: k, Level: level})
		}
		n.announced[k] = level > 0
	}
	slices.SortFunc(due, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Kind.Service, b.Kind.Service), cmp.Compare(a.Kind.Name, b.Kind.Name))
	})
	return due
}
