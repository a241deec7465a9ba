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
