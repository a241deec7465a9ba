package observer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"crocustack/core/connector"
)

// ReturnGrace is how long entries that vanished around an absence of the store
// are kept after its return. Living servers have registered again by then.
const ReturnGrace = 1800 * time.Millisecond

// View is what is known at one time. It is not changed once built.
type View struct {
	Config  connector.Config
	Members []connector.Member // Sorted by instance.
}

// entry is one member with the time after which it counts as gone.
type entry struct {
	member connector.Member
	// missing is true when the store no longer holds the entry; it is kept
	// until the time gone.
	missing bool
	gone    time.Duration
}

// Tracker follows the store. It is not safe for concurrent use. Time must not
// go backwards from call to call.
type Tracker struct {
	config  connector.Config
	entries map[string]entry
	// away is true from the first failed read on until the next good one.
	away      bool
	awaySince time.Duration
	// graceUntil is when vanished entries count as gone at once again.
	graceUntil time.Duration
}

// New returns a tracker that knows nothing.
func New() *Tracker { return &Tracker{entries: make(map[string]entry)} }

// absence is how long reads must fail until the store counts as away. A watch
// that is cut at times and answered by the next call is none.
const absence = 500 * time.Millisecond

// Failed notes that a read of the store failed and that the store may have been
// away since then.
func (t *Tracker) Failed(since time.Duration) {
	if !t.away {
		t.away, t.awaySince = true, since
	}
}

// returned begins the grace time when the store was away.
func (t *Tracker) returned(now time.Duration) {
	if t.away && now-t.awaySince >= absence {
		t.graceUntil = now + ReturnGrace
	}
	t.away = false
}

// Wait returns how long the next watch may wait: no longer than until the next
// vanished entry counts as gone.
func (t *Tracker) Wait(now, longest time.Duration) time.Duration {
	for _, e := range t.entries {
		if e.missing {
			longest = min(longest, max(e.gone-now, time.Millisecond))
		}
	}
	return longest
}

// Listed takes over a complete list. It returns true when the view changed.
func (t *Tracker) Listed(now time.Duration, cs connector.Changes) bool {
	t.returned(now)
	before := t.View()
	present := make(map[string]bool, len(cs.Changes))
	for _, c := range cs.Changes {
		if id := instanceOf(c); id != "" {
			present[id] = true
		}
		t.apply(now, c)
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if !present[id] {
			t.vanish(now, id)
		}
	}
	return !before.equal(t.View())
}

func instanceOf(c connector.Change) string {
	switch c := c.(type) {
	case connector.MemberUpdated:
		return c.Member.Instance
	case connector.Unreadable:
		return c.Instance
	case connector.MemberRemoved, connector.ConfigPublished:
	}
	return ""
}

// Changed takes over the changes of a watch. It returns true when the view
// changed.
func (t *Tracker) Changed(now time.Duration, cs connector.Changes) bool {
	t.returned(now)
	before := t.View()
	for _, c := range cs.Changes {
		t.apply(now, c)
	}
	return !before.equal(t.View())
}

func (t *Tracker) apply(now time.Duration, c connector.Change) {
	switch c := c.(type) {
	case connector.ConfigPublished:
		if c.Config.Version > t.config.Version {
			t.config = c.Config
		}
	case connector.MemberUpdated:
		if old, ok := t.entries[c.Member.Instance]; ok && c.Member.Older(old.member) {
			return
		}
		t.entries[c.Member.Instance] = entry{member: c.Member}
	case connector.MemberRemoved:
		t.vanish(now, c.Instance)
	case connector.Unreadable:
		// Whatever the entry said before is replaced by something that names no
		// member. It was written by somebody else, so the absence of the store
		// doesn't explain it.
		delete(t.entries, c.Instance)
	}
}

// vanish notes that the store no longer holds an entry.
func (t *Tracker) vanish(now time.Duration, instance string) {
	e, ok := t.entries[instance]
	if !ok {
		return
	}
	if now >= t.graceUntil || e.member.Draining {
		delete(t.entries, instance)
		return
	}
	if !e.missing {
		e.missing, e.gone = true, t.graceUntil
		t.entries[instance] = e
	}
}

// Expire drops the vanished entries whose grace time is over. It returns true
// when the view changed.
func (t *Tracker) Expire(now time.Duration) bool {
	n := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e entry) bool { return e.missing && now >= e.gone })
	return len(t.entries) != n
}

// View returns what is known.
func (t *Tracker) View() View {
	v := View{Config: t.config, Members: make([]connector.Member, 0, len(t.entries))}
	for _, e := range t.entries {
		v.Members = append(v.Members, e.member)
	}
	slices.SortFunc(v.Members, func(a, b connector.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return v
}

// equal compares configurations by version.
func (v View) equal(o View) bool {
	return v.Config.Version == o.Config.Version && slices.Equal(v.Members, o.Members)
}
