package composer

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// TestStopBetweenHeadAndBody guards against a graceful shutdown that cuts off a
// request whose head had arrived before the signal and whose body comes after it:
// it is run and answered, or refused as not run.
func TestStopBetweenHeadAndBody(t *testing.T) {
	f := newFleet(t, "s", "s")
	address := net.JoinHostPort(f.machines[0].address, f.outbound)
	stopped := make(chan struct{})
	var sent, answered sync.WaitGroup
	for i, pause := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		id := fmt.Sprint("h-", i)
		sent.Add(1)
		answered.Go(func() {
			q := standin.Request{ID: id, Method: http.MethodPost, Host: host, Target: "/write/x", Body: "0123456789", Budget: 8 * time.Second}
			status, err := standin.SendInTwoParts(address, q, 15*time.Second, func() {
				time.Sleep(100 * time.Millisecond) // The node reads the head.
				sent.Done()
				<-stopped
				time.Sleep(pause)
			})
			runs := len(f.runsOf(id))
			switch {
			case err != nil:
				t.Errorf("body %v after the signal: %v", pause, err)
			case status == http.StatusOK && runs == 1, status == http.StatusServiceUnavailable && runs == 0:
			default:
				t.Errorf("body %v after the signal: status %d, ran %d times", pause, status, runs)
			}
		})
	}
	sent.Wait()
	f.machines[0].stop()
	close(stopped)
	answered.Wait()
	<-f.machines[0].ended
}

// TestStopKeepsLongAnswers guards against a planned stop that cuts off long answers:
// the node beside the backend server has sent them, but the callers, at another node,
// read slowly.
func TestStopKeepsLongAnswers(t *testing.T) {
	const callers, padding = 6, 500 << 10
	f := newFleet(t, "other", "s")
	f.publishRoutes(connector.Route{Name: "write", Host: host, Prefix: "/", Timeout: 8 * time.Second, Shares: []connector.Share{{Service: "s", Weight: 1}}})
	f.machines[1].backend.PaddingBytes = padding
	f.eventually("the new routes", func() bool { return f.get(0, fmt.Sprint("n-", time.Now().UnixNano())).Proof })
	address := net.JoinHostPort(f.machines[0].address, f.outbound)
	stopped := make(chan struct{})
	var begun, ended sync.WaitGroup
	for i := range callers {
		begun.Add(1)
		ended.Go(func() {
			q := standin.Request{ID: fmt.Sprint("l-", i), Method: http.MethodPost, Host: host, Target: "/write/x", Budget: 8 * time.Second}
			n, err := standin.ReadSlowly(address, q, 10*time.Second, func() {
				begun.Done()
				<-stopped
				time.Sleep(drainDelay + time.Second) // Longer than a node takes that has nothing to do.
			})
			if err != nil || n < padding {
				t.Errorf("caller %d: %d bytes, error %v; want the whole answer of over %d", i, n, err, padding)
			}
		})
	}
	begun.Wait()
	f.machines[1].stop()
	close(stopped)
	ended.Wait()
	<-f.machines[1].ended
}

// TestStopRefusesLateRequests guards against a planned stop that takes requests late in
// the grace period and cuts them off at its end, when they have run: those of clients
// whose ids look like the id of a call, and calls of the backend server that can't end
// in time.
func TestStopRefusesLateRequests(t *testing.T) {
	const work = 800 * time.Millisecond
	f := newFleet(t, "other", "s")
	f.publishRoutes(
		connector.Route{Name: "write", Host: host, Prefix: "/write/", Timeout: 6 * time.Second, Objective: time.Second, Shares: []connector.Share{{Service: "s", Weight: 1}}},
		connector.Route{Name: "own", Host: host, Prefix: "/own/", Timeout: 8 * time.Second, Shares: []connector.Share{{Service: "other", Weight: 1}}},
	)
	f.eventually("the new routes", func() bool {
		return f.send(0, standin.Request{ID: fmt.Sprint("n-", time.Now().UnixNano()), Method: http.MethodPost, Target: "/own/x"}).Proof
	})
	f.machines[0].backend.Latency, f.machines[1].backend.Latency = 8*time.Second, work
	entry := net.JoinHostPort(f.machines[0].address, f.outbound)
	send := func(id, target string) standin.Result {
		return standin.Send(t.Context(), entry, standin.Request{ID: id, Method: http.MethodPost, Host: host, Target: target, Body: "b", Budget: 7 * time.Second})
	}
	var sent sync.WaitGroup
	sent.Go(func() { send("parent", "/own/x") }) // Runs on beside the node until it ends.
	f.eventually("the run of the parent", func() bool { return len(f.runsOf("parent")) > 0 })
	stopped := time.Now()
	f.machines[0].stop()
	served := 0
	var mu sync.Mutex
	for i := range 25 {
		for _, parent := range []string{"till", "parent"} {
			id := fmt.Sprintf("%s.%d", parent, i)
			sent.Go(func() {
				at := time.Since(stopped)
				got := send(id, "/write/x")
				switch runs := len(f.runsOf(id)); {
				case got.Status == http.StatusOK && runs == 1:
					mu.Lock()
					defer mu.Unlock()
					if parent == "parent" && at > drainDelay {
						served++
					}
				case got.Status == http.StatusServiceUnavailable && runs == 0:
				case got.Status == 0 && runs == 0: // The node was gone.
				default:
					t.Errorf("%s, sent %v after the signal: status %d, ran %d times", id, at.Round(time.Millisecond), got.Status, runs)
				}
			})
		}
		time.Sleep(220 * time.Millisecond)
	}
	<-f.machines[0].ended
	sent.Wait()
	if served == 0 {
		t.Error("no call of the request in flight was served after clients were refused")
	}
}
