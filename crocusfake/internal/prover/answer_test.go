package prover

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocustack/core/classifier"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/relayer"
	"crocustack/crocusfake/internal/worker"
)

// imageSize exceeds the 256 KB up to which nodes buffer an answer, so that images
// are streamed.
const imageSize = 600_000

// startArchive returns a fleet that serves idempotent requests with short and long
// answers. wrap, if set, replaces the handlers of the backend servers.
func startArchive(t *testing.T, wrap func(int, http.Handler) http.Handler) *fleet {
	kind := func(name, path string) classifier.Kind {
		return classifier.Kind{
			Name: name, Service: "archive", Methods: []string{http.MethodGet}, PathPrefix: path, Class: classifier.ClassBrowse,
			Idempotent: true, Timeout: longTimeout, Allowance: allowance,
		}
	}
	return start(t, []string{"waw-a"},
		service{name: "desk", instances: 2, slots: 16},
		service{
			name: "archive", instances: 2, slots: 16, wrap: wrap,
			routes: []worker.Route{
				{Method: http.MethodGet, Path: "/records", Mean: 20 * time.Millisecond, Idempotent: true},
				{Method: http.MethodGet, Path: "/images", Mean: 20 * time.Millisecond, Idempotent: true, Size: imageSize},
			},
			kinds: []classifier.Kind{kind("read-record", "/records"), kind("view-image", "/images")},
		})
}

// startReaders starts callers that read records and, with the share images, images.
func startReaders(seed uint64, rate float64, f *fleet, images float64) (*loader.Loader, func()) {
	return f.load(loader.Config{
		Name: "caller", Entries: entries(f.nodesOf("desk")...), Rate: rate, Retries: 1, Backoff: 20 * time.Millisecond, Seed: seed,
		Kinds: []loader.Kind{
			{Name: "read-record", Class: "Browse", Service: "archive", Method: http.MethodGet, Path: "/records", Share: 1 - images, Timeout: longTimeout},
			{Name: "view-image", Class: "Browse", Service: "archive", Method: http.MethodGet, Path: "/images", Share: images, Timeout: longTimeout, AnswerSize: imageSize},
		},
	})
}

// truncatingWriter forwards the first left bytes of an answer and then aborts it.
type truncatingWriter struct {
	http.ResponseWriter
	left int
}

func (c *truncatingWriter) Write(b []byte) (int, error) {
	if len(b) < c.left {
		c.left -= len(b)
		return c.ResponseWriter.Write(b)
	}
	_, _ = c.ResponseWriter.Write(b[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// TestP3BackendBreaksOff guards against a truncated answer that the caller takes for
// complete: the backend server aborts streamed answers, with and without a
// Content-Length.
func TestP3BackendBreaksOff(t *testing.T) {
	var mu sync.Mutex
	truncations, seen := 0, make(map[string]bool)
	f := startArchive(t, func(_ int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key := r.Header.Get(worker.HeaderKey)
			mu.Lock()
			// Only the first attempt of a key is truncated, so that a node that appended
			// the answer of a second attempt to the first part would be detected.
			truncate := strings.HasPrefix(r.URL.Path, "/images") && !seen[key] && !strings.HasSuffix(key, "0")
			seen[key] = true
			if truncate {
				truncations++
			}
			sized := truncations%2 == 0
			mu.Unlock()
			switch {
			case !truncate:
				h.ServeHTTP(w, r)
			case sized:
				h.ServeHTTP(&truncatingWriter{ResponseWriter: w, left: 300_000}, r)
			default:
				h.ServeHTTP(&truncatingWriter{ResponseWriter: chunkedWriter{w}, left: 300_000}, r)
			}
		})
	})
	l, stop := startReaders(11, 150, f, 0.3)
	eventually(t, "truncated answers", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return truncations >= 60 && countAttempts(l, complete) >= 300
	})
	stop()
	f.judge(l)
	long := 0
	for _, r := range l.Records() {
		if _, ok := r.Latency(); ok && r.Kind == "view-image" {
			long++
		}
	}
	broken := countAttempts(l, func(t loader.Try) bool { return t.Broken })
	if long == 0 || broken == 0 {
		t.Errorf("%d long answers complete, %d truncated, want some of both", long, broken)
	}
	t.Logf("%d answers aborted by backend servers, %d detected as truncated, %d long answers complete", truncations, broken, long)
}

// chunkedWriter removes the Content-Length, so that the answer uses chunked encoding.
type chunkedWriter struct{ http.ResponseWriter }

func (u chunkedWriter) WriteHeader(status int) {
	u.Header().Del("Content-Length")
	u.ResponseWriter.WriteHeader(status)
}

func (u chunkedWriter) Write(b []byte) (int, error) {
	u.Header().Del("Content-Length")
	return u.ResponseWriter.Write(b)
}

func (u chunkedWriter) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// TestP3LateAnswers guards against an answer that reaches another caller, or the same
// one twice, because a delayed link delivers it after its request was retried.
func TestP3LateAnswers(t *testing.T) {
	f := startArchive(t, nil)
	// Runs take 100 ms, so that some are in flight whenever a link is delayed.
	for _, n := range f.nodesOf("archive") {
		n.worker.SetSlow(5)
	}
	l, stop := startReaders(12, 60, f, 0.1)
	late := func(t loader.Try) bool { return t.Whole && t.End.Sub(t.Begin) > 900*time.Millisecond }
	rounds := func(delay func()) {
		for range 3 {
			began := time.Now()
			// 150 requests refill the retry budget of the service.
			eventually(t, "complete answers", func() bool {
				return countAttempts(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(began) }) >= 150
			})
			delay()
			delayed := time.Now()
			eventually(t, "requests after the delay", func() bool {
				return countAttempts(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(delayed.Add(2*time.Second)) }) >= 60
			})
		}
	}
	// Nodes abandon the link after 1 s; data in flight arrives after 1.5 s.
	rounds(func() {
		f.eachLink(func(r *relayer.Relay) { r.SetDelay(1500 * time.Millisecond) })
		time.Sleep(300 * time.Millisecond)
		f.eachLink(func(r *relayer.Relay) { r.SetDelay(0) })
	})
	// One instance receives and runs requests, but its answers and its replies to
	// outcome queries are held back, so that the requests are retried at the other
	// instance. With the delay in both directions above, few requests have run by
	// the time of the retry.
	rounds(func() {
		relay := f.nodesOf("archive")[0].toNode
		relay.SetOneWay(true)
		time.Sleep(2500 * time.Millisecond)
		relay.SetOneWay(false)
	})
	stop()
	v := f.judge(l)
	if v.MaxAttempts < 2 || countAttempts(l, late) == 0 {
		t.Errorf("%d answers came after a retry, at most %d attempts for a request; want some and 2", countAttempts(l, late), v.MaxAttempts)
	}
	t.Logf("%d answers came after a retry, at most %d attempts for a request", countAttempts(l, late), v.MaxAttempts)
}
