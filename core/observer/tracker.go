package observer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"crocustack/core/connector"
)

// RecoveryGrace is how long missing entries are kept after the end of an outage
// of the store. Live servers have registered again by then.
const RecoveryGrace = 1800 * time.Millisecond

const (
	// SuspensionTime is how long an entry that comes back with the copy from which
	// the store was restored is not used. The store removes the entry of a server
	// that is gone after three status report intervals of 1.5 s.
	SuspensionTime = 6 * time.Second
	// removalTime is how long removals are remembered. Copies are some seconds old.
	removalTime = 2 * time.Minute
)

// View is an immutable snapshot of the configuration and the members.
type View struct {
	Config  connector.Config
	Members []connector.Member // Sorted by instance.
}

// entry is the state of one member.
type entry struct {
	member connector.Member
	// missing is true when the store no longer holds the entry. The entry is
	// then kept until removeAt.
	missing  bool
	removeAt time.Duration
	// suspended is true for an entry that was removed before the store was
	// restored from a copy that still held it. It is used from resumeAt, unless
	// the store removes it again.
	suspended bool
	resumeAt  time.Duration
}

// removal records that the store removed an entry.
type removal struct {
	member connector.Member
	// era is that of the store at the removal.
	era int64
	at  time.Duration
}

// Tracker builds the view from the answers and failures of reads of the store.
// It is not safe for concurrent use. Times must not decrease from call to call.
type Tracker struct {
	config  connector.Config
	entries map[string]entry
	// removed holds the removals of the last removalTime by instance.
	removed map[string]removal
	// era is the era of the store in the last list. listed is true once a list was
	// applied.
	era    int64
	listed bool
	// failing is true from the first failed read until the next successful one.
	failing      bool
	failingSince time.Duration
	// graceUntil is the end of the grace period. From then on an entry is removed
	// as soon as it is missing.
	graceUntil time.Duration
}

// New returns a tracker with an empty view.
func New() *Tracker {
	return &Tracker{entries: make(map[string]entry), removed: make(map[string]removal)}
}

// minOutage is the time for which reads must fail before the store counts as
// having been unavailable. A single broken watch that the next call answers is
// no outage.
const minOutage = 500 * time.Millisecond

// RecordFailure records that a read of the store failed and that the store may
// have been unavailable since the given time.
func (t *Tracker) RecordFailure(since time.Duration) {
	if !t.failing {
		t.failing, t.failingSince = true, since
	}
}

// endOutage handles a successful read. It starts the grace period if reads had
// failed for at least minOutage.
func (t *Tracker) endOutage(now time.Duration) {
	if t.failing && now-t.failingSince >= minOutage {
		t.graceUntil = now + RecoveryGrace
	}
	t.failing = false
}

// WatchWait returns how long the next watch may wait: at most longest, and no
// longer than until the next missing entry must be removed or the next suspended
// one used.
func (t *Tracker) WatchWait(now, longest time.Duration) time.Duration {
	for _, e := range t.entries {
		if e.missing {
			longest = min(longest, max(e.removeAt-now, time.Millisecond))
		}
		if e.suspended {
			longest = min(longest, max(e.resumeAt-now, time.Millisecond))
		}
	}
	return longest
}

// ApplyList applies a complete list of the store and reports whether the view
// changed.
func (t *Tracker) ApplyList(now time.Duration, cs connector.Changes) bool {
	t.endOutage(now)
	if t.listed && cs.Position.Era > t.era {
		// The copy may lack entries of live servers, which register again.
		t.graceUntil = now + RecoveryGrace
	}
	t.era, t.listed = cs.Position.Era, true
	before := t.View()
	present := make(map[string]bool, len(cs.Changes))
	for _, c := range cs.Changes {
		if id := instanceOf(c); id != "" {
			present[id] = true
		}
		t.apply(now, c, true)
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if !present[id] {
			t.markMissing(now, id)
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

// ApplyChanges applies the changes returned by a watch and reports whether the
// view changed.
func (t *Tracker) ApplyChanges(now time.Duration, cs connector.Changes) bool {
	t.endOutage(now)
	before := t.View()
	for _, c := range cs.Changes {
		t.apply(now, c, false)
	}
	return !before.equal(t.View())
}

// apply applies one change. listed is true if it comes from a list, false if it is
// known to have been made since the last read.
func (t *Tracker) apply(now time.Duration, c connector.Change, listed bool) {
	switch c := c.(type) {
	case connector.ConfigPublished:
		if c.Config.Version > t.config.Version {
			t.config = c.Config
		}
	case connector.MemberUpdated:
		if old, ok := t.entries[c.Member.Instance]; ok && c.Member.Older(old.member) {
			if old.missing {
				// The store was restored again, from a copy that holds the entry.
				t.entries[c.Member.Instance] = entry{member: old.member, suspended: true, resumeAt: now + SuspensionTime}
			}
			return
		}
		t.entries[c.Member.Instance] = t.newEntry(now, c.Member, listed)
	case connector.MemberRemoved:
		if t.knownAfter(c.Instance, c.Removed) {
			return
		}
		t.markMissing(now, c.Instance)
	case connector.Unreadable:
		if t.knownAfter(c.Instance, c.Written) {
			return
		}
		// The previous value of the entry was overwritten with one that describes
		// no member. An outage of the store cannot cause that, so there is no
		// grace period.
		t.remove(now, c.Instance)
	}
}

// knownAfter reports whether the entry of an instance was written after a position.
// The watch that follows a list of several pages repeats earlier changes.
func (t *Tracker) knownAfter(instance string, p connector.Position) bool {
	e, ok := t.entries[instance]
	return ok && p.Before(e.member.Written)
}

// newEntry returns the entry of a member that the store holds. It is suspended if
// the store has removed it and nothing shows that the server has reported since:
// the entry may come from a copy of the store, or may have been written late.
func (t *Tracker) newEntry(now time.Duration, m connector.Member, listed bool) entry {
	gone, ok := t.removed[m.Instance]
	if !ok || t.reportedSince(gone, m, listed) {
		delete(t.removed, m.Instance)
		return entry{member: m}
	}
	if old, ok := t.entries[m.Instance]; ok && old.suspended {
		return entry{member: m, suspended: true, resumeAt: old.resumeAt}
	}
	return entry{member: m, suspended: true, resumeAt: now + SuspensionTime}
}

// reportedSince reports whether m shows that the server has reported since its
// removal. Reports that change nothing else don't change the entry, so that a second
// one can't be waited for. A run that was leaving at its removal doesn't come back.
func (t *Tracker) reportedSince(gone removal, m connector.Member, listed bool) bool {
	if !m.SameRun(gone.member) {
		return gone.era == t.era || !listed
	}
	left := gone.era == t.era && gone.member.Draining
	return m.Sequence > gone.member.Sequence && !left
}

// remove removes an entry and remembers the removal.
func (t *Tracker) remove(now time.Duration, instance string) {
	if e, ok := t.entries[instance]; ok {
		t.removed[instance] = removal{e.member, t.era, now}
		delete(t.entries, instance)
	}
	maps.DeleteFunc(t.removed, func(_ string, r removal) bool { return now-r.at > removalTime })
}

// markMissing handles an entry that the store no longer holds. It removes the
// entry at once, or at the end of the grace period if one is running. The entry
// of a draining member is always removed at once.
func (t *Tracker) markMissing(now time.Duration, instance string) {
	e, ok := t.entries[instance]
	if !ok {
		return
	}
	if now >= t.graceUntil || e.member.Draining || e.suspended {
		t.remove(now, instance)
		return
	}
	if !e.missing {
		e.missing, e.removeAt = true, t.graceUntil
		t.entries[instance] = e
	}
}

// Expire removes the missing entries whose grace period is over, resumes the
// suspended ones whose time is over, and reports whether the view changed.
func (t *Tracker) Expire(now time.Duration) bool {
	changed := false
	for _, instance := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[instance]
		switch {
		case e.missing && now >= e.removeAt:
			t.remove(now, instance)
			changed = true
		case e.suspended && now >= e.resumeAt:
			delete(t.removed, instance)
			t.entries[instance] = entry{member: e.member}
			changed = true
		}
	}
	return changed
}

// View returns the current view.
func (t *Tracker) View() View {
	v := View{Config: t.config, Members: make([]connector.Member, 0, len(t.entries))}
	for _, e := range t.entries {
		if !e.suspended {
			v.Members = append(v.Members, e.member)
		}
	}
	slices.SortFunc(v.Members, func(a, b connector.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return v
}

// equal compares configurations by version.
func (v View) equal(o View) bool {
	return v.Config.Version == o.Config.Version && slices.Equal(v.Members, o.Members)
}
