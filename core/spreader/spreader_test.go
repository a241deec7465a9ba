package spreader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocustack/core/watcher"
)

func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("node", i)
	}
	return out
}

// TestFloodReaches guards against a graph of control peers that is not
// connected, so that an update does not reach all live members, also when some
// members are unreachable.
func TestFloodReaches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := addresses(rapid.IntRange(1, 60).Draw(t, "members"))
		dead := make(map[string]bool)
		for range rapid.IntRange(0, len(all)/3).Draw(t, "dead") {
			dead[all[rapid.IntRange(1, len(all)-1).Draw(t, "who")]] = true
		}
		reached, queue := map[string]bool{all[0]: true}, []string{all[0]}
		for len(queue) > 0 {
			s := New(Config{Self: queue[0]}, 1)
			s.SetMembers(0, all, nil)
			for d := range dead {
				s.RecordFailure(0, d)
			}
			queue = queue[1:]
			for _, p := range s.ReleasePeers("") {
				if dead[p] || p == s.cfg.Self {
					t.Fatalf("%s has peer %s, which is unreachable or the node itself", s.cfg.Self, p)
				}
				if !reached[p] {
					reached[p] = true
					queue = append(queue, p)
				}
			}
		}
		if len(reached)+len(dead) != len(all) {
			t.Fatalf("reached %d of %d members, %d are unreachable", len(reached), len(all), len(dead))
		}
	})
}

// TestPeers guards against control peers that are replaced without need, that
// are never rotated, or that are all in one domain.
func TestPeers(t *testing.T) {
	s := New(Config{Self: "node0"}, 1)
	s.SetMembers(0, addresses(100), []string{"far1", "far2"})
	first := slices.Clone(s.Peers())
	if len(first) != 5 || first[4][:3] != "far" {
		t.Fatalf("peers %v, want 5 with the last in another domain", first)
	}
	s.SetMembers(0, addresses(101), []string{"far1", "far2"})
	changed := 0
	for _, p := range s.Peers() {
		if !slices.Contains(first, p) {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("one more member changed %d peers, want at most 1", changed)
	}
	s.Tick(s.cfg.RotationInterval)
	if slices.Equal(s.Peers()[2:4], first[2:4]) {
		t.Error("random peers were not rotated")
	}
	s.RecordFailure(0, s.Peers()[0])
	if failed := s.Peers()[0]; slices.Contains(s.Peers()[1:], failed) {
		t.Error("a peer is listed twice")
	}
}

// TestPartner guards against nodes that never compare digests with a reader or
// with peers that share their interest, and against a reader that is chosen
// less often than every 8 turns.
func TestPartner(t *testing.T) {
	s := New(Config{Self: "node0"}, 1)
	s.SetMembers(0, addresses(20), nil)
	s.RecordFailure(0, "r2")
	last := map[string]int{}
	for turn := range 100 {
		p := s.Partner(time.Second, []string{"sharing"}, []string{"r1", "r2", "node0"})
		if p == "" || p == "r2" || p == "node0" {
			t.Fatalf("partner %q is empty, unreachable or the node itself", p)
		}
		if before, ok := last[p]; ok && p == "r1" && turn-before > 8 {
			t.Errorf("reader chosen again after %d turns, want at most 8", turn-before)
		}
		last[p] = turn
	}
	if last["r1"] < 90 || last["sharing"] < 90 {
		t.Errorf("last turn by partner: %v, want r1 and sharing among the last 10", last)
	}
}

// TestMarkSeen guards against a set of seen stamps that evicts recent ones or
// grows without bound.
func TestMarkSeen(t *testing.T) {
	s := New(Config{Self: "a", MaxSeen: 10}, 1)
	for k := range uint64(100) {
		if !s.MarkSeen(k) || s.MarkSeen(k) || k > 9 && s.MarkSeen(k-9) {
			t.Fatalf("stamp %d: wrong result for a new, a repeated or a recent stamp", k)
		}
	}
	if len(s.seen) != 10 || len(s.order) != 10 {
		t.Errorf("%d stamps kept, want 10", len(s.seen))
	}
}

// TestInstancePeersFollowScope guards against scoped forwarding that leaves out
// a peer whose scope holds the record.
func TestInstancePeersFollowScope(t *testing.T) {
	s := New(Config{Self: "node0", OutOfScopeProbability: 0.5}, 1)
	s.SetMembers(0, addresses(5), []string{"far"})
	holds := s.Peers()[1]
	counts := map[string]int{}
	for range 1000 {
		for _, p := range s.InstancePeers(s.Peers()[0], watcher.Cell{Domain: "d", Service: "s"}, func(a string) (watcher.Scope, bool) {
			return watcher.Scope{All: a == holds}, true
		}) {
			counts[p]++
		}
	}
	if counts[holds] != 1000 || counts[s.Peers()[0]] != 0 || counts["far"] < 400 || counts["far"] > 600 {
		t.Errorf("records forwarded by peer: %v", counts)
	}
}
