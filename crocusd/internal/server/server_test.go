package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"crocustack/core/classifier"
	"crocustack/core/gatekeeper"
	"crocustack/core/recorder"
	"crocustack/core/releaser"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/tracer"
)

// fakeForwarder returns a fixed outcome and counts the requests that it gets.
type fakeForwarder struct {
	outcome resolver.Outcome
	sent    int
}

var testTicket = gatekeeper.Ticket{
	Home: gatekeeper.Incarnation{Service: "numerator", Address: "127.0.0.1:7000", BootID: 9}, Kind: "issue", Serial: 1,
}

func (f *fakeForwarder) Forward(_ context.Context, _ forwarder.Request, sink forwarder.Sink) forwarder.Result {
	f.sent++
	if ran, ok := f.outcome.(resolver.Ran); ok {
		sink.Head(ran.Status, nil, 2)
		_ = sink.Write([]byte("ok"))
	}
	return forwarder.Result{Outcome: f.outcome}
}

func (f *fakeForwarder) Tickets(context.Context, string, string, int) ([]gatekeeper.Ticket, time.Duration, error) {
	return []gatekeeper.Ticket{testTicket}, time.Minute, nil
}

func testServer(f Forwarder, ready bool) *Server {
	kinds := []classifier.Kind{
		{Name: "issue", Service: "numerator", Methods: []string{"POST"}, PathPrefix: "/numbers", Class: classifier.ClassCritical, Ticket: classifier.TicketRuleRequired, Timeout: time.Second},
		{Name: "read", Service: "numerator", Methods: []string{"GET", "PUT"}, PathPrefix: "/numbers", Idempotent: true, Timeout: time.Second},
	}
	view := releaser.View{Table: classifier.NewTable(kinds), Services: map[string]releaser.Service{"numerator": {Name: "numerator"}}}
	return New(Config{MaxBodyBytes: 10, BufferBytes: 100_000}, func() releaser.View { return view }, func() bool { return ready }, f,
		tracer.NewRegistry(), recorder.New(logr.Discard(), 8))
}

// callerResponse holds the parts of a response by which a caller learns the
// outcome, and whether the request was forwarded.
type callerResponse struct {
	Status          int
	Outcome, Reason string
	Ticket, Sent    bool
}

// TestEntry guards against invalid requests that reach an upstream, and against
// responses from which a caller cannot tell the outcome of its request.
func TestEntry(t *testing.T) {
	ticket, err := testTicket.Text()
	if err != nil {
		t.Fatal(err)
	}
	ran := resolver.Ran{Status: 200}
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		outcome                  resolver.Outcome
		want                     callerResponse
	}{
		{"ran", "GET", "/numerator/numbers", "", nil, ran, callerResponse{200, "Ran", "", false, true}},
		{"unknown service", "GET", "/other/numbers", "", nil, ran, callerResponse{404, "NotRun", "UnknownService", false, false}},
		{"unknown kind", "GET", "/numerator/other", "", nil, ran, callerResponse{404, "NotRun", "UnknownKind", false, false}},
		{"ticket missing", "POST", "/numerator/numbers", "", nil, ran, callerResponse{428, "NotRun", "TicketRequired", true, false}},
		{"ticket", "POST", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": ticket}, ran, callerResponse{200, "Ran", "", false, true}},
		{"ticket of another kind", "GET", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": ticket}, ran, callerResponse{400, "NotRun", "BadRequest", false, false}},
		{"malformed ticket", "POST", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": "%%"}, ran, callerResponse{400, "NotRun", "BadRequest", false, false}},
		{"attempt 0", "GET", "/numerator/numbers", "", map[string]string{"Crocus-Attempt": "0"}, ran, callerResponse{400, "NotRun", "BadRequest", false, false}},
		{"timeout not a number", "GET", "/numerator/numbers", "", map[string]string{"Crocus-Timeout-Ms": "soon"}, ran, callerResponse{400, "NotRun", "BadRequest", false, false}},
		{"body at the limit", "PUT", "/numerator/numbers", "0123456789", nil, ran, callerResponse{200, "Ran", "", false, true}},
		{"body too large", "PUT", "/numerator/numbers", "0123456789a", nil, ran, callerResponse{413, "NotRun", "BodyTooLarge", false, false}},
		{"gate of the ticket draining", "POST", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": ticket}, resolver.NotRun{Reason: resolver.ReasonDraining}, callerResponse{428, "NotRun", "Draining", true, true}},
		{"gate of the ticket unreachable, first attempt", "POST", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": ticket, "Crocus-Attempt": "1"}, resolver.NotRun{Reason: resolver.ReasonNoLink}, callerResponse{428, "NotRun", "NoLink", true, true}},
		{"gate of the ticket unreachable, second attempt", "POST", "/numerator/numbers", "", map[string]string{"Crocus-Ticket": ticket, "Crocus-Attempt": "2"}, resolver.NotRun{Reason: resolver.ReasonNoLink}, callerResponse{503, "NotRun", "NoLink", false, true}},
		{"indeterminate outcome", "GET", "/numerator/numbers", "", nil, resolver.Unknown{Reason: resolver.ReasonLinkLost}, callerResponse{504, "Unknown", "LinkLost", false, true}},
	}
	for _, tc := range tests {
		for _, chunked := range []bool{false, true} {
			f := &fakeForwarder{outcome: tc.outcome}
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			if chunked {
				r.ContentLength = -1
			}
			for k, v := range tc.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			testServer(f, true).Entry().ServeHTTP(w, r)
			h := w.Result().Header
			got := callerResponse{w.Code, h.Get("Crocus-Outcome"), h.Get("Crocus-Reason"), h.Get("Crocus-Ticket") != "", f.sent > 0}
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Errorf("%s (chunked %t) (-want +got):\n%s", tc.name, chunked, d)
			}
		}
	}
}

// truncatedBody returns io.ErrUnexpectedEOF at the end of its bytes, as an upload
// does whose connection is lost.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestTruncatedBody guards against a truncated upload that is forwarded, and
// against a leak of buffer budget when the connection of an upload is lost.
func TestTruncatedBody(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	s := testServer(f, true)
	for range 50 {
		r := httptest.NewRequest(http.MethodPut, "/numerator/numbers", truncatedBody{strings.NewReader("0123")})
		r.ContentLength = -1
		w := httptest.NewRecorder()
		s.Entry().ServeHTTP(w, r)
		if got := w.Header().Get("Crocus-Reason"); got != "Cancelled" || f.sent > 0 {
			t.Fatalf("reason %q, %d requests forwarded, want Cancelled and none", got, f.sent)
		}
	}
	// Holds the whole budget: fails if the truncated bodies kept a part of it.
	held := httptest.NewRequest(http.MethodPut, "/numerator/numbers", bytes.NewReader(make([]byte, 100_000)))
	body, reason := s.bodies.Read(httptest.NewRecorder(), held, 100_000, time.Now().Add(time.Minute))
	if reason != resolver.ReasonNone {
		t.Fatalf("the buffer budget was not released: %v", reason)
	}
	defer body.Release()
	w := httptest.NewRecorder()
	s.Entry().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/numerator/numbers", strings.NewReader("0123")))
	if got := w.Header().Get("Crocus-Reason"); got != "BufferFull" {
		t.Errorf("reason %q with no buffer left, want BufferFull", got)
	}
}

// TestNotServing guards against requests that are forwarded before the node is
// ready or while it is draining.
func TestNotServing(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	draining := testServer(f, true)
	draining.StartDraining()
	for want, s := range map[string]*Server{"NotReady": testServer(f, false), "Draining": draining} {
		w := httptest.NewRecorder()
		s.Entry().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/numerator/numbers", nil))
		if got := w.Header().Get("Crocus-Reason"); got != want || f.sent > 0 {
			t.Errorf("reason %q, %d requests forwarded, want %s and none", got, f.sent, want)
		}
	}
}
