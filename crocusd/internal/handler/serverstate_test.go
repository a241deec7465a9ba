package handler

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// TestOvertakenAnswerKeepsStatement guards against a departure or a limit that is
// forgotten because an answer from before the statement arrives after it.
func TestOvertakenAnswerKeepsStatement(t *testing.T) {
	leaving := connector.ServerState{Leaving: true}
	limited := connector.ServerState{RateLimited: true, RateLimit: 3}
	s := observedState{}.with(2, 1, "i", leaving)
	want := observedState{leaving, "i", 2}
	for _, late := range []connector.ServerState{{}, limited} {
		if d := cmp.Diff(want, s.with(3, 1, "i", late), cmp.AllowUnexported(observedState{})); d != "" {
			t.Errorf("after an overtaken answer: -want +got:\n%s", d)
		}
	}
	if d := cmp.Diff(observedState{}, s.with(4, 3, "i", connector.ServerState{}), cmp.AllowUnexported(observedState{})); d != "" {
		t.Errorf("after a later answer: -want +got:\n%s", d)
	}
}

// TestRefusalsOfTheGateStateNothing guards against a limit or departure that is
// withdrawn by a refusal which the backend server did not make, and against a
// report of the departure to senders that mean another instance.
func TestRefusalsOfTheGateStateNothing(t *testing.T) {
	h := newHandler(&scriptedBackend{})
	m := &encoder.Run{Instance: "i"}
	h.observeState(m, time.Second, connector.Answered{State: connector.ServerState{Leaving: true, RateLimited: true, RateLimit: 3}})
	h.observeState(m, time.Hour, connector.NotRun{Reason: resolver.ReasonBackendUnreachable})
	h.observeState(m, time.Hour, connector.Unknown{Reason: resolver.ReasonBackendLost})
	load := h.loadMessage(m)
	if !load.GetServerLeaving() || load.GetRateLimit() != 3 {
		t.Errorf("load %v, want a leaving server with a limit of 3", load)
	}
	if !h.storedLoad().GetServerLeaving() {
		t.Error("a stored answer does not report the departure")
	}
	if h.loadMessage(&encoder.Run{Instance: "j"}).GetServerLeaving() {
		t.Error("another instance is reported as leaving")
	}
}

// TestHTTPBackendStatesRate guards against a rate limit of a backend server with
// the project's own interface that has no effect, and against passing the header
// on to callers.
func TestHTTPBackendStatesRate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRateLimit, "2.5")
		if r.URL.Path == "/refused" {
			w.Header().Set(HeaderOutcome, "NotRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	want := connector.ServerState{RateLimited: true, RateLimit: 2.5}
	b, err := NewHTTPBackend(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/", "/refused"} {
		var got connector.ServerState
		switch r := b.Do(t.Context(), connector.Call{Method: http.MethodGet, Path: path}).(type) {
		case connector.Answered:
			got = r.State
			for _, h := range r.Headers {
				if h.GetName() == HeaderRateLimit {
					t.Errorf("%s: the header is passed on", path)
				}
			}
			_ = r.Body.Close()
		case connector.NotRun:
			got = r.State
		case connector.Unknown:
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: -want +got:\n%s", path, d)
		}
	}
}
