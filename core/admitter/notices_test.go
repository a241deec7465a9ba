package admitter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestNotices guards against a level above 0 that is not repeated, a fall to 0
// that senders never learn of, and notices for kinds that are no longer received.
func TestNotices(t *testing.T) {
	n := NewNotices()
	list, get := GateKind{"archive", "list"}, GateKind{"archive", "get"}
	n.Seen(0, list)
	n.Seen(0, get)
	level := map[GateKind]uint32{}
	current := func(k GateKind) uint32 { return level[k] }
	var got [][]Notice
	due := func(now time.Duration) { got = append(got, n.Due(now, current)) }
	due(0)
	level[list] = 300
	due(NoticeInterval)
	level[get] = 40
	due(2 * NoticeInterval)
	level[list] = 0
	due(3 * NoticeInterval)
	due(4 * NoticeInterval)
	due(noticeLifetime + time.Second)
	want := [][]Notice{nil, {{list, 300}}, {{get, 40}, {list, 300}}, {{get, 40}, {list, 0}}, {{get, 40}}, nil}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	for i := range 2 * maxNoticeKinds {
		n.Seen(time.Minute, GateKind{"archive", string(rune('a' + i))})
	}
	if len(n.lastSeen) > maxNoticeKinds {
		t.Errorf("%d kinds are kept, want at most %d", len(n.lastSeen), maxNoticeKinds)
	}
}
