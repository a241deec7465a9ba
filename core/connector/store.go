package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Position is a place in the history of the store. A store that is restored from
// a copy begins a new era, in which it gives out revisions of the era before
// again, for other changes.
type Position struct {
	// Era is 0 if the store states none.
	Era      int64
	Revision int64
}

// Before reports whether p is an earlier place in the history than o.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Revision < o.Revision
}

// ErrCompacted means that the store no longer holds the changes since a
// revision, so that the state must be listed again.
var ErrCompacted = errors.New("the store no longer holds the changes since the requested revision")

// Change is one change that the store reports: ConfigPublished, MemberUpdated,
// MemberRemoved or Unreadable.
//
//sumtype:decl
type Change interface{ change() }

// ConfigPublished reports a published configuration.
type ConfigPublished struct{ Config Config }

// MemberUpdated reports a member that is registered or has changed.
type MemberUpdated struct{ Member Member }

// MemberRemoved reports that the entry of an instance was removed at a position.
type MemberRemoved struct {
	Instance string
	Removed  Position
}

// Unreadable reports an entry that cannot be decoded. It does not describe a
// usable member.
type Unreadable struct {
	Key string
	// Instance is set if the key is that of a member.
	Instance string
	// Written is the position at which the entry was written.
	Written Position
	Err     error
}

func (ConfigPublished) change() {}
func (MemberUpdated) change()   {}
func (MemberRemoved) change()   {}
func (Unreadable) change()      {}

// Changes holds the changes that the store reported up to a position, in order.
type Changes struct {
	Position Position
	Changes  []Change
}

// Store reads the platform's metadata store. It is safe for concurrent use.
type Store interface {
	// List returns the complete current state as changes from an empty state.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a position as soon as there are any, or
	// none once wait has elapsed. The error is ErrCompacted if the store no
	// longer holds the changes.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes, error)
}
