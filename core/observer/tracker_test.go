package observer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

func member(id string, born, seq int64) connector.Member {
	return connector.Member{Instance: id, Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 1, StartMillis: born, Sequence: seq}
}

func set(ms ...connector.Member) []connector.Change {
	var cs []connector.Change
	for _, m := range ms {
		cs = append(cs, connector.MemberUpdated{Member: m})
	}
	return cs
}

func names(t *Tracker) []string {
	ids := []string{}
	for _, m := range t.View().Members {
		ids = append(ids, m.Instance)
	}
	return ids
}

func want(t *testing.T, tr *Tracker, when string, ids ...string) {
	t.Helper()
	if ids == nil {
		ids = []string{}
	}
	if d := cmp.Diff(ids, names(tr)); d != "" {
		t.Errorf("%s: -want +got members:\n%s", when, d)
	}
}

// Guards against work for a server whose entry was removed while the store was
// well.
func TestRemovedIsGoneAtOnce(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1), member("b", 1, 1))})
	tr.Changed(time.Second, connector.Changes{Changes: []connector.Change{connector.MemberRemoved{Instance: "a"}}})
	want(t, tr, "after the removal", "b")
}

// Guards against living servers that are dropped because their entries lapsed
// while the store was away, and against dead ones that stay listed: a missing
// entry counts for ReturnGrace after the return.
func TestLapsedWhileStoreWasAway(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1), member("b", 1, 1))})
	tr.Failed(time.Second)
	back := 5 * time.Second
	tr.Changed(back, connector.Changes{Changes: []connector.Change{
		connector.MemberRemoved{Instance: "a"}, connector.MemberRemoved{Instance: "b"},
	}})
	want(t, tr, "at the return", "a", "b")
	tr.Changed(back+time.Second, connector.Changes{Changes: set(member("a", 1, 2))})
	tr.Expire(back + ReturnGrace - 1)
	want(t, tr, "within the grace time", "a", "b")
	tr.Expire(back + ReturnGrace)
	want(t, tr, "after the grace time", "a")
}

// The same when the state is listed again.
func TestLapsedFoundByList(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1))})
	tr.Failed(time.Second)
	tr.Listed(3*time.Second, connector.Changes{})
	want(t, tr, "at the return", "a")
	tr.Expire(3*time.Second + ReturnGrace)
	want(t, tr, "after the grace time")
}

// Guards against a drain that is seen too late because one watch was cut: only
// a real absence delays a removal.
func TestCutWatchIsNoAbsence(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1))})
	tr.Failed(time.Second)
	tr.Changed(time.Second+absence/2, connector.Changes{Changes: []connector.Change{connector.MemberRemoved{Instance: "a"}}})
	want(t, tr, "after a cut watch")
}

// Guards against a leaving server that gets work again because the store was
// away when its entry went.
func TestDrainingIsNotKept(t *testing.T) {
	tr := New()
	m := member("a", 1, 1)
	m.Draining = true
	tr.Listed(0, connector.Changes{Changes: set(m)})
	tr.Failed(time.Second)
	tr.Listed(3*time.Second, connector.Changes{})
	want(t, tr, "at the return")
}

// Guards against late entries: those of an earlier run of an instance that
// started again under its id, and earlier reports of the same run.
func TestOlderEntriesIgnored(t *testing.T) {
	tr := New()
	now := member("a", 2, 5)
	tr.Listed(0, connector.Changes{Changes: set(now)})
	for _, old := range []connector.Member{member("a", 1, 9), member("a", 2, 4)} {
		old.Draining = true
		tr.Changed(time.Second, connector.Changes{Changes: set(old)})
	}
	if d := cmp.Diff([]connector.Member{now}, tr.View().Members); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	restarted := member("a", 3, 1)
	tr.Changed(time.Second, connector.Changes{Changes: set(restarted)})
	if d := cmp.Diff([]connector.Member{restarted}, tr.View().Members); d != "" {
		t.Errorf("after a restart: -want +got:\n%s", d)
	}
}

// Guards against an entry of another writer that keeps a server in use, or that
// takes the others with it.
func TestUnreadableEntryNamesNoMember(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1), member("b", 1, 1))})
	tr.Changed(time.Second, connector.Changes{Changes: []connector.Change{
		connector.Unreadable{Key: "k", Instance: "a", Err: errors.New("bad")}, connector.Unreadable{Key: "other", Err: errors.New("bad")},
	}})
	want(t, tr, "after the entry", "b")
}

// Guards against a configuration that goes back.
func TestConfigNeverGoesBack(t *testing.T) {
	tr := New()
	for _, v := range []int64{3, 7, 5} {
		tr.Listed(0, connector.Changes{Changes: []connector.Change{connector.ConfigPublished{Config: connector.Config{Version: v}}}})
	}
	if got := tr.View().Config.Version; got != 7 {
		t.Errorf("version %d in force, want 7", got)
	}
}

// Guards against a vanished entry that stays until the next news of the store.
func TestWaitEndsWithGraceTime(t *testing.T) {
	tr := New()
	tr.Listed(0, connector.Changes{Changes: set(member("a", 1, 1))})
	if got := tr.Wait(0, time.Minute); got != time.Minute {
		t.Errorf("Wait = %v without a vanished entry, want %v", got, time.Minute)
	}
	tr.Failed(0)
	tr.Listed(time.Second, connector.Changes{})
	if got := tr.Wait(time.Second, time.Minute); got != ReturnGrace {
		t.Errorf("Wait = %v after the entry vanished, want %v", got, ReturnGrace)
	}
}
