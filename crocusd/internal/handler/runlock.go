package handler

import (
	"context"
	"sync"
	"time"
)

const (
	// maxDrainForTrial bounds how long a trial waits for the runs before it to end.
	maxDrainForTrial = 500 * time.Millisecond
	// maxAlone bounds how long other runs wait for a trial.
	maxAlone = time.Second
)

// runLock is a readers-writer lock for the backend server: runs share it, a trial
// excludes them. So the end of the server during a trial speaks against the request
// on trial alone. Waiting ends with a context. It is safe for concurrent use.
type runLock struct {
	mu sync.Mutex
	// readers is the number of runs in progress, trials left out.
	readers int
	// exclusive is true while a trial runs alone or waits for the other runs to end.
	exclusive bool
	// changed is closed and replaced whenever readers or exclusive changes.
	changed chan struct{}
}

func newRunLock() *runLock { return &runLock{changed: make(chan struct{})} }

// update applies a change of the fields and wakes those that wait for one.
func (k *runLock) update(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
	close(k.changed)
	k.changed = make(chan struct{})
}

// await waits until ready returns true, which is called with mu held and may change
// the fields, and returns false when ctx ends first.
func (k *runLock) await(ctx context.Context, ready func() bool) bool {
	for {
		k.mu.Lock()
		ok, changed := ready(), k.changed
		k.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// tryRLock begins a run unless a trial needs the server. The caller must call
// rUnlock if it returns true.
func (k *runLock) tryRLock() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.exclusive {
		k.readers++
	}
	return !k.exclusive
}

// rLock begins a run after the trial that needs the server, if there is one. It
// returns false when ctx ends first; otherwise the caller must call rUnlock.
func (k *runLock) rLock(ctx context.Context) bool {
	return k.await(ctx, func() bool {
		if !k.exclusive {
			k.readers++
		}
		return !k.exclusive
	})
}

// rUnlock ends a run.
func (k *runLock) rUnlock() { k.update(func() { k.readers-- }) }

// lock keeps new runs out and waits for those in progress to end, up to
// maxDrainForTrial. The caller must call the returned function at the end of the
// trial; after maxAlone other runs proceed beside it.
func (k *runLock) lock(ctx context.Context) func() {
	k.update(func() { k.exclusive = true })
	ctx, cancel := context.WithTimeout(ctx, maxDrainForTrial)
	defer cancel()
	k.await(ctx, func() bool { return k.readers == 0 })
	var once sync.Once
	unlock := func() { once.Do(func() { k.update(func() { k.exclusive = false }) }) }
	timer := time.AfterFunc(maxAlone, unlock)
	return func() {
		timer.Stop()
		unlock()
	}
}
