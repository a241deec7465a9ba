package isolator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

// newCounted returns an Isolator, its counter and the number of its log lines.
func newCounted() (*Isolator, metrics.Counter, *int) {
	lines := new(int)
	registry := metrics.NewRegistry()
	i := New(funcr.New(func(_, _ string) { *lines++ }, funcr.Options{}), registry)
	return i, metrics.GetOrRegisterCounter(PanicsMetric, registry), lines
}

// TestRun guards against a panic that ends the process or leaves no trace.
func TestRun(t *testing.T) {
	i, panics, lines := newCounted()
	returned := i.Run("read", "a", func() {})
	panicked := !i.Run("read", "a", func() {
		panic("fault")
	})
	if !returned || !panicked || panics.Count() != 1 || *lines != 1 {
		t.Errorf("returned %t, panicked %t, %d counted, %d lines", returned, panicked, panics.Count(), *lines)
	}
}

// TestHandler guards against a response that looks complete after a panic, a
// server that ends, and a planned abort that counts as an error.
func TestHandler(t *testing.T) {
	i, panics, _ := newCounted()
	s := httptest.NewServer(i.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fault":
			_, _ = io.WriteString(w, "half")
			panic("fault")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	}), "X-Id"))
	defer s.Close()
	var got []string
	for _, path := range []string{"/fault", "/abort", "/"} {
		resp, err := http.Get(s.URL + path)
		if err != nil {
			got = append(got, "aborted")
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			got = append(got, "aborted")
			continue
		}
		got = append(got, string(text))
	}
	if d := cmp.Diff([]string{"aborted", "aborted", "whole"}, got); d != "" || panics.Count() != 1 {
		t.Errorf("%d panics counted, want 1; -want +got:\n%s", panics.Count(), d)
	}
}
