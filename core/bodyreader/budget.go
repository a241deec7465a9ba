package bodyreader

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// shortBytes is the length up to which a body counts as short.
const shortBytes = 64 << 10

// Budget bounds the bytes of the bodies that a node holds. It is safe for concurrent
// use.
type Budget struct {
	// long is for all bodies. ordinary is for short ones and the beginnings of long
	// ones, so that a few long bodies can't keep ordinary callers out.
	long, ordinary *semaphore.Weighted

	mu sync.Mutex
	// arriving holds the bodies that are still being received.
	arriving map[*arrival]struct{}
}

// arrival is a body that is being received.
type arrival struct {
	// progressAt is when bytes last came, in Unix nanoseconds, and bytes how many.
	progressAt, bytes atomic.Int64
	// stop ends the reception.
	stop func()
}

// NewBudget returns a budget with the given numbers of bytes for all bodies and,
// besides, for short ones.
func NewBudget(long, ordinary int64) *Budget {
	return &Budget{long: semaphore.NewWeighted(long), ordinary: semaphore.NewWeighted(ordinary), arriving: make(map[*arrival]struct{})}
}

// stallTime is the time without progress from which a body that is being received may
// have to make room for others.
const stallTime = 500 * time.Millisecond

// arrive records a body that is being received. The caller must call leave at its end.
func (b *Budget) arrive(now time.Time, stop func()) *arrival {
	a := &arrival{stop: stop}
	a.progressAt.Store(now.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[a] = struct{}{}
	return a
}

func (b *Budget) leave(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, a)
}

// StopStalled stops the reception of the largest body of which nothing has come for
// stallTime, and reports whether there is one.
func (b *Budget) StopStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest *arrival
	for a := range b.arriving {
		if now.Sub(time.Unix(0, a.progressAt.Load())) >= stallTime && (largest == nil || a.bytes.Load() > largest.bytes.Load()) {
			largest = a
		}
	}
	if largest == nil {
		return false
	}
	delete(b.arriving, largest)
	largest.stop()
	return true
}

// Hold is the part of a budget that one body holds. It is not safe for concurrent use.
type Hold struct {
	b              *Budget
	ordinary, long int64
}

// Hold returns an empty part of the budget. Release must be called once it is no
// longer used.
func (b *Budget) Hold() *Hold { return &Hold{b: b} }

// TryGrow adds n bytes and reports whether the budget allows it. The first shortBytes
// come from the part for ordinary callers if there is room.
func (h *Hold) TryGrow(n int64) bool {
	if h.ordinary+h.long+n <= shortBytes && h.b.ordinary.TryAcquire(n) {
		h.ordinary += n
		return true
	}
	if !h.b.long.TryAcquire(n) {
		return false
	}
	h.long += n
	return true
}

// Release returns all bytes to the budget.
func (h *Hold) Release() {
	h.b.ordinary.Release(h.ordinary)
	h.b.long.Release(h.long)
	h.ordinary, h.long = 0, 0
}
