package composer

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// TestRestartedNodeUsesNothingOld guards against a restarted node that sends
// requests to a backend server that has left, or by an older configuration:
// nothing may be sent while the store is down, and only what the store holds when
// it is back.
func TestRestartedNodeUsesNothingOld(t *testing.T) {
	f := newFleet(t, "s", "s", "other", "other")
	entry := f.machines[2]
	entry.stop()
	<-entry.ended
	f.publish(connector.Share{Service: "other", Weight: 1})
	f.store.Deregister("i-4")
	f.store.SetDown(true)
	f.start(entry)
	ready := func() bool { return standin.Ready(net.JoinHostPort(entry.address, f.ready)) }
	for i, end := 0, time.Now().Add(1500*time.Millisecond); time.Now().Before(end); i++ {
		id := fmt.Sprint("early-", i)
		got := f.get(2, id)
		if n := len(f.runsOf(id)); ready() || n > 0 || got.Status != 0 && got.Status != http.StatusServiceUnavailable {
			t.Fatalf("with the store down: ready %t, %+v, %d runs", ready(), got, n)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.store.SetDown(false)
	f.eventually("ready node", ready)
	for i := range 60 {
		id := fmt.Sprint("late-", i)
		if got := f.get(2, id); got.Body != standin.Answer("i-3", id) {
			t.Fatalf("%s: %+v, want an answer of the only member of the service that the configuration names", id, got)
		}
	}
}

// TestStartBesideSlowStore guards against a node that never becomes ready, or no longer
// follows the store, because the store takes longer for a list of many servers than a
// single response may take, or longer for each response than a node may lag behind.
func TestStartBesideSlowStore(t *testing.T) {
	f := newFleet(t, "s", "s")
	const servers, page, delay = 150, 25, 260 * time.Millisecond
	for i := range servers {
		f.store.Register(connector.Member{
			Instance: fmt.Sprint("many-", i), Service: "other", Address: fmt.Sprintf("127.0.78.%d:80", i+1), Domain: "d", Slots: 1, StartMillis: 1,
		})
	}
	f.store.SetSlow(page, delay)
	entry := f.machines[0]
	entry.stop()
	<-entry.ended
	f.start(entry)
	f.eventually("ready node", func() bool { return standin.Ready(net.JoinHostPort(entry.address, f.ready)) })
	for i := range 5 {
		f.followed(t, fmt.Sprint("slow-", i))
	}
}
