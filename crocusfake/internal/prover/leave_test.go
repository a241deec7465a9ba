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

// leaver is a backend server that can start to leave in one of several ways. It
// goes on to run what it is given, and notes when that was.
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

// leaveTarget is how long after the start of its leaving a backend server may
// get new work (docs/design.md, section 1.5).
const leaveTarget = 2 * time.Second

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
	eventually(t, "work at the upstream that will leave", func() bool { n, _ := v.seen(); return n >= 50 })
	left := time.Now()
	leave(f, &v)
	// Long enough after the target that any work would show.
	eventually(t, "whole answers after the target", func() bool {
		return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(left.Add(leaveTarget)) }) >= 200
	})
	stop()
	verdict := f.judge(l)
	n, last := v.seen()
	t.Logf("%d requests in all, the last one %v after the start of leaving; %d runs", n, last.Sub(left).Round(time.Millisecond), verdict.Runs)
	if last.After(left.Add(leaveTarget)) {
		t.Errorf("new work %v after the start of leaving, want none after %v", last.Sub(left), leaveTarget)
	}
}

// TestP6HealthSaysDraining guards against new work for a backend server that
// states on its health endpoint that it drains.
func TestP6HealthSaysDraining(t *testing.T) {
	testLeave(t, 21, func(_ *fleet, v *leaver) { v.set(true, false) })
}

// TestP6RefusesWithDraining guards against new work for a backend server whose
// only sign of leaving is the header of its refusals.
func TestP6RefusesWithDraining(t *testing.T) {
	testLeave(t, 22, func(_ *fleet, v *leaver) { v.set(false, true) })
}

// TestP6ListSaysLeaving guards against new work for a backend server that only
// the instance list states as leaving.
func TestP6ListSaysLeaving(t *testing.T) {
	testLeave(t, 23, func(f *fleet, _ *leaver) { check(t, f.publisher.SetInstance(f.of("archive")[0].instance("Leaving"))) })
}

// TestP7SIGTERM guards against a planned stop that cuts requests in flight, both
// those that came in at the node's own entry and those sent to its gate.
func TestP7SIGTERM(t *testing.T) {
	f := archive(t, nil)
	leaving := f.of("archive")[0]
	l, stop := readers(24, 150, f, 0.2)
	eventually(t, "work at the node that will stop", func() bool { return leaving.runs() >= 50 })

	// Requests in flight at the node's own entry and at its gate. Their runs take
	// 2.5 s, so that they outlast the time that the node gives its peers to learn
	// of the stop.
	l.SetRate(0)
	eventually(t, "rest at the backend servers", func() bool { return f.of("archive")[0].worker.Present()+f.of("archive")[1].worker.Present() == 0 })
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
			// On a busy machine the latency of the earlier requests makes the gate
			// lower its limit, and it refuses some of these. They are sent again, so
			// that all are in flight when the stop begins.
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
	eventually(t, "end of the process", func() bool {
		select {
		case <-leaving.ended:
			return true
		default:
			return false
		}
	})
	if !leaving.cmd.ProcessState.Success() {
		t.Errorf("the node ended with %v", leaving.cmd.ProcessState)
	}
	ended := time.Now()
	eventually(t, "whole answers after the stop", func() bool {
		return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(ended) }) >= 100
	})
	wg.Wait()
	stop()
	f.judge(l)
	// An answer or a NotRun is owed to every request, through whichever node.
	for _, r := range l.Records() {
		for _, try := range r.Tries {
			if !try.Whole && try.Outcome != "NotRun" {
				t.Errorf("%s try %d told %s (%s)", try.Key, try.Number, try.OutcomeLabel(), try.Error)
			}
		}
	}
	if here == 0 {
		t.Error("no run was in flight at the gate of the stopped node")
	}
	t.Logf("%d requests in flight, %d runs at the stopped node: %d whole, %d NotRun", inFlight, here, whole.Load(), notRun.Load())
}

// started counts the runs whose key begins with the prefix.
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
