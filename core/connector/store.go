package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone says that the store no longer holds the changes since a
// revision; the state must be listed again.
var ErrHistoryGone = errors.New("the store dropped the history since the revision")

// Change is one thing that the store says: ConfigSet, MemberSet, MemberGone or
// Unreadable.
//
//sumtype:decl
type Change interface{ change() }

// ConfigSet says that a configuration was published.
type ConfigSet struct{ Config Config }

// MemberSet says that a member is registered or has changed.
type MemberSet struct{ Member Member }

// MemberGone says that the entry of an instance was removed.
type MemberGone struct{ Instance string }

// Unreadable says that an entry can't be decoded. It names no usable member.
type Unreadable struct {
	Key string
	// Instance is set when the key is that of a member.
	Instance string
	Err      error
}

func (ConfigSet) change()  {}
func (MemberSet) change()  {}
func (MemberGone) change() {}
func (Unreadable) change() {}

// Changes is what the store said up to a revision, in order.
type Changes struct {
	Revision int64
	Changes  []Change
}

// Store reads the platform's metadata store. It is safe for concurrent use.
type Store interface {
	// List returns the whole current state as changes from nothing.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision as soon as there are some, and
	// none when wait has passed. The error is ErrHistoryGone when the changes
	// are no longer known.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}
