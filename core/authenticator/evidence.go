package authenticator

import (
	"sync"
	"time"
)

// Evidence holds the latest time at which the configuration of this node is known to
// have been the newest one. Times are those since the boot of the machine, including
// time in which it was suspended. It is safe for concurrent use.
type Evidence struct {
	mu sync.Mutex
	// version is the configuration that the evidence is of; 0 for none.
	version int64
	// provenAt is the latest time at which version is known to have been the newest one.
	provenAt time.Duration
	// viewAt is the latest time at which all that this node has read of the store is
	// known to have been its latest state.
	viewAt time.Duration
}

// ObserveRead records that a read of the store that was sent at a time, and answered
// from its latest state, found the given version in force here.
func (e *Evidence) ObserveRead(sent time.Duration, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version < e.version {
		return
	}
	if version > e.version {
		// Evidence of the version before says nothing about this one.
		e.version, e.provenAt, e.viewAt = version, 0, 0
	}
	e.provenAt, e.viewAt = max(e.provenAt, sent), max(e.viewAt, sent)
}

// PeerEvidence is the evidence that a peer states in the answer to a request.
type PeerEvidence struct {
	// Version is the configuration that Age is of; 0 for none.
	Version int64
	Age     time.Duration
	// ViewAge is the age of the evidence for all that the peer has read; 0 for none.
	ViewAge time.Duration
	// SameView is true if this node has read the store as far as the peer.
	SameView bool
}

// ObservePeer records the evidence of a peer that answered a request sent to it at a
// time. The answer was written after the request was sent, so that the evidence is from
// sent - age or later. Evidence for another version than that of this node, or for a
// view that goes further, proves nothing.
func (e *Evidence) ObservePeer(sent time.Duration, p PeerEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Version == 0 || p.Version != e.version || p.Age < 0 || p.Age >= sent {
		return
	}
	e.provenAt = max(e.provenAt, sent-p.Age)
	if p.SameView && p.ViewAge > 0 && p.ViewAge < sent {
		e.viewAt = max(e.viewAt, sent-p.ViewAge)
	}
}

// Age returns the age of the evidence and the version that it is of. The version is 0
// if there is none.
func (e *Evidence) Age(now time.Duration) (age time.Duration, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.provenAt == 0 {
		return 0, 0
	}
	return max(now-e.provenAt, 0), e.version
}

// Current reports whether the configuration with the given version was the newest one
// less than within ago. Evidence of an earlier version shows this too: whatever
// replaced the given one came later still.
func (e *Evidence) Current(now, within time.Duration, version int64) bool {
	age, of := e.Age(now)
	return of != 0 && of <= version && age < within
}

// ViewAge returns the age of the evidence for all that this node has read of the store,
// at least 1 µs, or 0 if there is none.
func (e *Evidence) ViewAge(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.viewAt == 0 {
		return 0
	}
	return max(now-e.viewAt, time.Microsecond)
}

// ViewWithin reports whether all that this node has read of the store was its latest
// state less than within ago.
func (e *Evidence) ViewWithin(now, within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.viewAt > 0 && now-e.viewAt < within
}
