package worker

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

func start(t *testing.T, cfg Config) (*Worker, string) {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(w.Handler())
	t.Cleanup(s.Close)
	return w, s.URL
}

func send(ctx context.Context, t *testing.T, url, key string) (status int, outcome, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Crocus-Outcome") + resp.Header.Get("Crocus-Draining"), string(b)
}

func waitPresent(t *testing.T, w *Worker, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); w.Present() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests present, want %d", w.Present(), n)
		}
	}
}

// Guards against more concurrent runs than slots, against a ledger entry for a
// refused or abandoned request, and against a drain that interrupts a run.
func TestSlotsAndDrain(t *testing.T) {
	w, url := start(t, Config{
		Service: "s", Slots: 1, Connections: 2,
		Routes: []Route{{Method: http.MethodGet, Path: "/a", Mean: time.Millisecond, Idempotent: true}},
	})
	w.SetPaused(true)
	w.SetPaused(false)
	w.SetSlow(200)
	var wg sync.WaitGroup
	wg.Go(func() {
		status, _, body := send(t.Context(), t, url+"/a", "running")
		if status != http.StatusOK || body != string(Answer("s", "/a", "running", 0, nil)) {
			t.Errorf("running request: status %d, body %q", status, body)
		}
	})
	waitPresent(t, w, 1)
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { send(ctx, t, url+"/a", "waiting") })
	waitPresent(t, w, 2)
	if status, outcome, _ := send(t.Context(), t, url+"/a", "over"); status != http.StatusServiceUnavailable || outcome != "NotRun" {
		t.Errorf("request over the connection limit: %d %s", status, outcome)
	}
	cancel()
	waitPresent(t, w, 1)
	w.SetDraining(true)
	if status, outcome, _ := send(t.Context(), t, url+"/a", "late"); status != http.StatusServiceUnavailable || outcome != "NotRuntrue" {
		t.Errorf("request while draining: %d %s", status, outcome)
	}
	if state, _ := w.reportedState(time.Now()); state != "Draining" {
		t.Errorf("health reports %s while draining", state)
	}
	wg.Wait()
	if runs := w.Ledger().Entries().Runs; len(runs) != 1 || runs[0].Key != "running" || !runs[0].Finished {
		t.Errorf("ledger: %+v", runs)
	}
}
