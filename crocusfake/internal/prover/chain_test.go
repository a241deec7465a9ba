package prover

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"crocustack/core/classifier"

	"crocustack/crocusfake/internal/worker"
)

const (
	chainDepth = 7
	// allowance is the retry allowance of every kind in these tests.
	allowance = 3
)

// arrivals counts the requests at backend servers by call tree and service.
type arrivals struct {
	mu    sync.Mutex
	count map[worker.Attempt]map[string]int
}

func (a *arrivals) add(service string, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == nil {
		a.count = make(map[worker.Attempt]map[string]int)
	}
	tree := worker.Attempt{Key: r.Header.Get(worker.HeaderKey), Try: r.Header.Get(worker.HeaderTry)}.Tree()
	if a.count[tree] == nil {
		a.count[tree] = make(map[string]int)
	}
	a.count[tree][service]++
}

// startChain returns a fleet in which each service calls the next one, and the counts of
// the requests at its backend servers. The last service answers with the handler
// last, and so does each service whose call failed.
func startChain(t *testing.T, last http.HandlerFunc) (*fleet, *arrivals) {
	var services []service
	var seen arrivals
	for i := range chainDepth {
		name := fmt.Sprintf("s%d", i)
		route := worker.Route{Method: http.MethodGet, Path: "/x", Mean: time.Millisecond, Idempotent: true}
		if i+1 < chainDepth {
			route.Calls = []worker.Call{{Service: fmt.Sprintf("s%d", i+1), Method: http.MethodGet, Path: "/x"}}
		}
		services = append(services, service{
			name: name, instances: 2, slots: 16, routes: []worker.Route{route},
			kinds: []classifier.Kind{{
				Name: name, Service: name, Methods: []string{http.MethodGet}, PathPrefix: "/x", Class: classifier.ClassStandard,
				Idempotent: true, Timeout: 5 * time.Second, Allowance: allowance,
			}},
			wrap: func(_ int, h http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(worker.HeaderKey) == "" {
						h.ServeHTTP(w, r) // The health endpoint.
						return
					}
					seen.add(name, r)
					if i+1 == chainDepth {
						last(w, r)
						return
					}
					// A service fails in the same way as the service that it calls.
					// Otherwise its answer would end the retries of the services above.
					rec := httptest.NewRecorder()
					h.ServeHTTP(rec, r)
					if rec.Code >= http.StatusInternalServerError {
						last(w, r)
						return
					}
					maps.Copy(w.Header(), rec.Header())
					w.WriteHeader(rec.Code)
					_, _ = w.Write(rec.Body.Bytes())
				})
			},
		})
	}
	return start(t, []string{"waw-a"}, services...), &seen
}

// checkAttempts sends requests one after another, with the given value of
// Crocus-Attempt, and checks that each service received each of them at most most
// times: a retry anywhere in the call tree may cause at most one more attempt at any
// service. It returns the largest count.
func (f *fleet) checkAttempts(seen *arrivals, name string, attempt, requests, most int) int {
	f.t.Helper()
	largest := 0
	for i := range requests {
		key := fmt.Sprintf("%s-%d", name, i)
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodesOf("s0")[i%2].entry+"/s0/x", nil)
		check(f.t, err)
		req.Header.Set(worker.HeaderKey, key)
		req.Header.Set("Crocus-Attempt", strconv.Itoa(attempt))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		seen.mu.Lock()
		for service, n := range seen.count[worker.Attempt{Key: key}] {
			if n > most {
				f.t.Errorf("%s: %d attempts at %s, want at most %d", key, n, service, most)
			}
			largest = max(largest, n)
		}
		seen.mu.Unlock()
	}
	return largest
}

func testChain(t *testing.T, last http.HandlerFunc) {
	t.Helper()
	f, seen := startChain(t, last)
	// So few requests that the allowance and not the retry ratio (10 retries at
	// first, then one per 10 requests) limits the retries.
	const requests = 4
	first := f.checkAttempts(seen, "first", 1, requests, 1+allowance)
	if first == 1 {
		t.Error("no request was retried, so the bound was not tested")
	}
	repeated := f.checkAttempts(seen, "repeat", 2, requests, 1)
	if repeated != 1 {
		t.Errorf("repeated requests of callers: at most %d attempts at any service, want 1", repeated)
	}
	t.Logf("chain of %d services, %d requests each: at most %d attempts at any service for first requests, %d for repeated requests", chainDepth, requests, first, repeated)
}

// TestP1ChainLastRefuses guards against retry amplification along a chain of
// services whose last one refuses requests without running them. With 3 retries at
// each of 7 hops there would be up to 4^7 attempts.
func TestP1ChainLastRefuses(t *testing.T) {
	testChain(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Crocus-Outcome", "NotRun")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	})
}

// TestP1ChainLastFails guards against retry amplification along a chain of services
// whose last one aborts the connection.
func TestP1ChainLastFails(t *testing.T) {
	testChain(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
}
