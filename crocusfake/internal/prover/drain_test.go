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

// leaver wraps a backend server that can announce its draining in several ways. It
// records the number of requests and the time of the last one.
type leaver struct {
	mu                sync.Mutex
	draining, refuses bool
	last              time.Time
	arrived           int
}

func (v *leaver) wrap(h http.Handler) http.Handler {
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

func (v *leaver) set(draining, refuses bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining, v.refuses = draining, refuses
}

func (v *leaver) seen() (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.arrived, v.last
}

// leaveTarget is the time after the start of draining in which a backend server may
// still receive new requests (docs/design.md, section 1.5).
const leaveTarget = 2 * time.Second

// testLeave checks that no new requests reach a draining backend server after
// leaveTarget. leave starts the draining.
func testLeave(t *testing.T, seed uint64, leave func(*fleet, *leaver)) {
	t.Helper()
	var v leaver
	f := archive(t, func(i int, h http.Handler) http.Handler {
		if i == 0 {
			return v.wrap(h)
		}
		return h
	})
	l, stop := readers(seed, 100, f, 0)
	eventually(t, "requests at the upstream that will drain", func() bool { n, _ := v.seen(); return n >= 50 })
	left := time.Now()
	leave(f, &v)
	// Enough requests after the target that any sent to the draining upstream would
	// be noticed.
	eventually(t, "complete answers after the target", func() bool {
		return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(left.Add(leaveTarget)) }) >= 200
	})
	stop()
	verdict := f.judge(l)
	n, last := v.seen()
	t.Logf("%d requests in total, the last one %v after the start of draining; %d runs", n, last.Sub(left).Round(time.Millisecond), verdict.Runs)
	if last.After(left.Add(leaveTarget)) {
		t.Errorf("new request %v after the start of draining, want none after %v", last.Sub(left), leaveTarget)
	}
}

// TestP6HealthSaysDraining guards against new requests for a backend server whose
// health endpoint reports that it is draining.
func TestP6HealthSaysDraining(t *testing.T) {
	testLeave(t, 21, func(_ *fleet, v *leaver) { v.set(true, false) })
}

// TestP6RefusesWithDraining guards against new requests for a backend server that
// reports its draining only in the header of its refusals.
func TestP6RefusesWithDraining(t *testing.T) {
	testLeave(t, 22, func(_ *fleet, v *leaver) { v.set(false, true) })
}

// TestP6ListSaysLeaving guards against new requests for a backend server that is
// marked as leaving only in the instance list.
func TestP6ListSaysLeaving(t *testing.T) {
	testLeave(t, 23, func(f *fleet, _ *leaver) { check(t, f.publisher.SetInstance(f.of("archive")[0].instance("Leaving"))) })
}

// TestP7SIGTERM guards against a planned stop that aborts requests in flight, both
// those received by the node's own entry and those sent to its gate.
func TestP7SIGTERM(t *testing.T) {
	f := archive(t, nil)
	leaving := f.of("archive")[0]
	l, stop := readers(24, 150, f, 0.2)
	eventually(t, "requests at the node that will stop", func() bool { return leaving.runs() >= 50 })

	// Put requests in flight at the node's own entry and at its gate. Their runs
	// take 2.5 s, longer than the node waits for its peers to learn of the stop.
	l.SetRate(0)
	eventually(t, "idle backend servers", func() bool { return f.of("archive")[0].worker.Present()+f.of("archive")[1].worker.Present() == 0 })
	for _, n := range f.of("archive") {
		n.worker.SetSlow(125)
	}
	const inFlight = 8
	var whole, notRun atomic.Int64
	var stopping atomic.Bool
	var wg sync.WaitGroup
	for i := range inFlight {
		wg.Go(func() {
			key := fmt.Sprintf("entry-%d", i)
			entry := leaving.entry
			if i%2 == 1 {
				entry = f.of("desk")[0].entry
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
	eventually(t, "requests in flight", func() bool { return f.started("entry-") == inFlight })
	here := leaving.worker.Present()
	stopping.Store(true)
	leaving.signal(syscall.SIGTERM)
	for _, n := range f.of("archive") {
		n.worker.SetSlow(1)
	}
	l.SetRate(150)
	eventually(t, "exit of the process", func() bool {
		select {
		case <-leaving.ended:
			return true
		default:
			return false
		}
	})
	if !leaving.cmd.ProcessState.Success() {
		t.Errorf("the node exited with %v", leaving.cmd.ProcessState)
	}
	ended := time.Now()
	eventually(t, "complete answers after the stop", func() bool {
		return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(ended) }) >= 100
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
	if here == 0 {
		t.Error("no run was in flight at the gate of the stopped node")
	}
	t.Logf("%d requests in flight, %d runs at the stopped node: %d complete answers, %d NotRun", inFlight, here, whole.Load(), notRun.Load())
}

// started returns the number of runs in all ledgers whose key begins with the prefix.
func (f *fleet) started(prefix string) int {
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
