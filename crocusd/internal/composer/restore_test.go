package composer

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// configApply is the time within which an acknowledged configuration is in force.
const configApply = 2 * time.Second

// restore takes the store away from all nodes, restores it from a copy, makes
// changes and brings it back.
func (f *fleet) restore(c standin.Copy, change func()) {
	f.store.SetDown(true)
	f.store.Restore(c)
	change()
	f.store.SetDown(false)
}

// within waits up to limit until done returns true.
func (f *fleet) within(limit time.Duration, what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) {
			f.t.Errorf("no %s within %s", what, limit)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answeredBy reports whether an instance answers a request through machine i.
func (f *fleet) answeredBy(i int, instance string) bool {
	id := fmt.Sprint("a-", time.Now().UnixNano())
	return f.get(i, id).Body == standin.Answer(instance, id)
}

// TestChangeAtReusedRevisionIsSeen guards against a confirmed configuration that a
// node never applies: the store was restored from a copy and gave the
// configuration a revision that the node had read before, for another change.
func TestChangeAtReusedRevisionIsSeen(t *testing.T) {
	f := newFleet(t, "s", "other")
	for round := range 3 {
		to := connector.Share{Service: []string{"other", "s"}[round%2], Weight: 1}
		instance := []string{"i-2", "i-1"}[round%2]
		copied := f.store.Copy()
		for range 3 {
			f.publish(connector.Share{Service: []string{"s", "other"}[round%2], Weight: 1})
		}
		time.Sleep(configApply) // All nodes have read the revisions that are lost.
		f.restore(copied, func() {
			f.publish(to)
			for i := range 5 {
				f.store.Put("unused/key", fmt.Append(nil, i))
			}
		})
		for i := range f.machines {
			f.within(configApply, fmt.Sprintf("answer of %s through machine %d in round %d", instance, i, round), func() bool { return f.answeredBy(i, instance) })
		}
	}
}

// TestRemovedServerStaysRemoved guards against requests to a server whose removal
// was confirmed, after the store was restored from a copy that still holds its
// entry, and against a server that gets no requests although it has registered
// again since.
func TestRemovedServerStaysRemoved(t *testing.T) {
	f := newFleet(t, "s", "s", "other")
	copied := f.store.Copy()
	f.store.Deregister("i-1")
	time.Sleep(configApply)
	f.restore(copied, func() {})
	since, id := time.Now(), 0
	for time.Since(since) < 2*configApply {
		if got := f.get(2, fmt.Sprint("r-", id)); got.Status != http.StatusOK {
			t.Fatalf("status %d, want 200: another server is there", got.Status)
		}
		id++
		time.Sleep(10 * time.Millisecond)
	}
	if got := f.machines[0].backend.ArrivalsSince(since); got > 0 {
		t.Errorf("a server that had left got %d requests after the store was restored", got)
	}
	f.register(0, connector.Member{Sequence: 9})
	f.within(configApply, "request at the server that registered again", func() bool { return f.answeredBy(2, "i-1") })
}
