package prover

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// drainingBackend wraps a backend server that can announce its draining in several
// ways. It records the number of requests and the time of the last one.
type drainingBackend struct {
	mu                sync.Mutex
	draining, refuses bool
	last              time.Time
	arrived           int
}

func (v *drainingBackend) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		health := r.URL.Path == "/health"
		if !health {
			v.last = time.Now()
			v.arrived++
		}
		draining, refuses := v.draining, v.refuses
		v.mu.Unlock()
		switch {
		case health && draining:
			_, _ = io.WriteString(w, `{"State": "Draining"}`)
		case !health && refuses:
			w.Header().Set("Crocus-Outcome", "NotRun")
			w.Header().Set("Crocus-Draining", "true")
			http.Error(w, "draining", http.StatusServiceUnavailable)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

func (v *drainingBackend) set(draining, refuses bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining, v.refuses = draining, refuses
}

func (v *drainingBackend) arrivals() (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.arrived, v.last
}

// drainTarget is the time after the start of draining in which a backend server may
// still receive new requests (docs/design.md, section 1.5).
const drainTarget = 2 * time.Second

// testDrain checks that no new requests reach a draining backend server after
// drainTarget. startDraining starts the draining.
func testDrain(t *testing.T, seed uint64, startDraining func(*fleet, *drainingBackend)) {
	t.Helper()
	var v drainingBackend
	f := startArchive(t, func(i int, h http.Handler) http.Handler {
		if i == 0 {
			return v.wrap(h)
		}
		return h
	})
	l, stop := startReaders(seed, 100, f, 0)
	eventually(t, "requests at the upstream that will drain", func() bool { n, _ := v.arrivals(); return n >= 50 })
	drainStart := time.Now()
	startDraining(f, &v)
	// Enough requests after the target that any sent to the draining upstream would
	// be noticed.
	eventually(t, "complete answers after the target", func() bool {
		return countAttempts(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(drainStart.Add(drainTarget)) }) >= 200
	})
	stop()
	verdict := f.judge(l)
	n, last := v.arrivals()
	t.Logf("%d requests in total, the last one %v after the start of draining; %d runs", n, last.Sub(drainStart).Round(time.Millisecond), verdict.Runs)
	if last.After(drainStart.Add(drainTarget)) {
		t.Errorf("new request %v after the start of draining, want none after %v", last.Sub(drainStart), drainTarget)
	}
}

// TestP6HealthSaysDraining guards against new requests for a backend server whose
// health endpoint reports that it is draining.
func TestP6HealthSaysDraining(t *testing.T) {
	testDrain(t, 21, func(_ *fleet, v *drainingBackend) { v.set(true, false) })
}

// TestP6RefusesWithDraining guards against new requests for a backend server that
// reports its draining only in the header of its refusals.
func TestP6RefusesWithDraining(t *testing.T) {
	testDrain(t, 22, func(_ *fleet, v *drainingBackend) { v.set(false, true) })
}

// TestP6ListSaysLeaving guards against new requests for a backend server that is
// marked as leaving only in the instance list.
func TestP6ListSaysLeaving(t *testing.T) {
	testDrain(t, 23, func(f *fleet, _ *drainingBackend) {
		check(t, f.publisher.SetInstance(f.nodesOf("archive")[0].instance("Leaving")))
	})
}

// TestP7SIGTERM guards against a planned stop that aborts requests in flight, both
// those received by the node's own entry and those sent to its gate.
func TestP7SIGTERM(t *testing.T) {
	f := startArchive(t, nil)
	stopped := f.nodesOf("archive")[0]
	l, stop := startReaders(24, 150, f, 0.2)
	eventually(t, "requests at the node that will stop", func() bool { return stopped.runs() >= 50 })

	// Put requests in flight at the node's own entry and at its gate. Their runs
	// take 2.5 s, longer than the node waits for its peers to learn of the stop.
	l.SetRate(0)
	eventually(t, "idle backend servers", func() bool {
		return f.nodesOf("archive")[0].worker.Present()+f.nodesOf("archive")[1].worker.Present() == 0
	})
	for _, n := range f.nodesOf("archive") {
		n.worker.SetSlow(125)
	}
	const inFlight = 8
	var whole, notRun atomic.Int64
	var stopping atomic.Bool
	var wg sync.WaitGroup
	for i := range inFlight {
		wg.Go(func() {
			key := fmt.Sprintf("entry-%d", i)
			entry := stopped.entry
			if i%2 == 1 {
				entry = f.nodesOf("desk")[0].entry
			}
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+entry+"/archive/images", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set(worker.HeaderKey, key)
			resp, err := http.DefaultClient.Do(req)
			// On a busy machine the latency of the earlier requests can lower the
			// gate's admission limit, so that it refuses some of these requests. They
			// are repeated, so that all are in flight when the stop begins.
			for err == nil && resp.Header.Get("Crocus-Outcome") == "NotRun" && !stopping.Load() {
				_ = resp.Body.Close()
				time.Sleep(20 * time.Millisecond)
				resp, err = http.DefaultClient.Do(req)
			}
			if err != nil {
				t.Errorf("%s: %v", key, err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			switch {
			case err != nil:
				t.Errorf("%s: %v", key, err)
			case resp.StatusCode == http.StatusOK && string(b) == string(worker.Answer("archive", "/images", key, imageSize, nil)):
				whole.Add(1)
			case resp.Header.Get("Crocus-Outcome") == "NotRun":
				notRun.Add(1)
			default:
				t.Errorf("%s: status %d, outcome %q, %d bytes", key, resp.StatusCode, resp.Header.Get("Crocus-Outcome"), len(b))
			}
		})
	}
	eventually(t, "requests in flight", func() bool { return f.runsWithPrefix("entry-") == inFlight })
	runsAtStopped := stopped.worker.Present()
	stopping.Store(true)
	stopped.signal(syscall.SIGTERM)
	for _, n := range f.nodesOf("archive") {
		n.worker.SetSlow(1)
	}
	l.SetRate(150)
	eventually(t, "exit of the process", func() bool {
		select {
		case <-stopped.ended:
			return true
		default:
			return false
		}
	})
	if !stopped.cmd.ProcessState.Success() {
		t.Errorf("the node exited with %v", stopped.cmd.ProcessState)
	}
	ended := time.Now()
	eventually(t, "complete answers after the stop", func() bool {
		return countAttempts(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(ended) }) >= 100
	})
	wg.Wait()
	stop()
	f.judge(l)
	// Every request must get a complete answer or NotRun, through whichever node it
	// was sent.
	for _, r := range l.Records() {
		for _, try := range r.Tries {
			if !try.Whole && try.Outcome != "NotRun" {
				t.Errorf("%s attempt %d got %s (%s)", try.Key, try.Number, try.OutcomeLabel(), try.Error)
			}
		}
	}
	if runsAtStopped == 0 {
		t.Error("no run was in flight at the gate of the stopped node")
	}
	t.Logf("%d requests in flight, %d runs at the stopped node: %d complete answers, %d NotRun", inFlight, runsAtStopped, whole.Load(), notRun.Load())
}

// runsWithPrefix returns the number of runs in all ledgers whose key begins with the
// prefix.
func (f *fleet) runsWithPrefix(prefix string) int {
	count := 0
	for _, l := range f.ledgers() {
		for _, r := range l.Runs {
			if len(r.Key) >= len(prefix) && r.Key[:len(prefix)] == prefix {
				count++
			}
		}
	}
	return count
}
