package loader_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"crocustack/crocusfake/internal/judger"
	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// Guards against a loader that accepts a corrupted answer as complete, that
// reuses the key for a repeat without a ticket, or that does not record an
// attempt.
func TestRecords(t *testing.T) {
	w, err := worker.New(worker.Config{Service: "s", Instance: "s-1", Slots: 8, Connections: 8, Routes: []worker.Route{{Method: http.MethodPost, Path: "/a"}}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.Header.Get(worker.HeaderKey), "7") {
			r.Header.Set(worker.HeaderKey, "other")
		}
		http.StripPrefix("/s", w.Handler()).ServeHTTP(rw, r)
	}))
	defer s.Close()
	l := loader.New(loader.Config{
		Name: "c", Entries: []string{s.Listener.Addr().String()}, Rate: 1000, Retries: 1, Seed: 1,
		Kinds: []loader.Kind{{Name: "a", Service: "s", Method: http.MethodPost, Path: "/a", Share: 1, Timeout: 5 * time.Second, BodySize: 100}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	l.Run(ctx)
	records := l.Records()
	attempts, corrupted := 0, 0
	for _, r := range records {
		attempts += len(r.Tries)
		first := r.Tries[0]
		if strings.HasSuffix(first.Key, "7") {
			corrupted++
			if first.Whole || len(r.Tries) != 2 || r.Tries[1].Key == first.Key {
				t.Errorf("corrupted answer not recorded or not repeated under a new key: %+v", r)
			}
		} else if _, ok := r.Latency(); !ok {
			t.Errorf("complete answer not recorded: %+v", r)
		}
	}
	v := judger.Judge([]worker.Entries{w.Ledger().Entries()}, records, 0)
	if corrupted == 0 || v.Runs != attempts || v.WrongAnswers != corrupted {
		t.Errorf("%d requests, %d attempts, %d corrupted answers: %+v", len(records), attempts, corrupted, v)
	}
}
