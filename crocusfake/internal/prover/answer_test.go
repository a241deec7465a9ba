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

// imageSize is over the 256 KB up to which nodes hold an answer.
const imageSize = 600_000

// archive returns a fleet with idempotent requests that have short and long
// answers.
func archive(t *testing.T, wrap func(int, http.Handler) http.Handler) *fleet {
	kind := func(name, path string) classifier.Kind {
		return classifier.Kind{
			Name: name, Service: "archive", Methods: []string{http.MethodGet}, PathPrefix: path, Class: classifier.ClassBrowse,
			Idempotent: true, Timeout: patientCaller, Allowance: allowance,
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

func readers(seed uint64, rate float64, f *fleet, images float64) (*loader.Loader, func()) {
	return f.load(loader.Config{
		Name: "caller", Entries: entries(f.of("desk")...), Rate: rate, Retries: 1, Backoff: 20 * time.Millisecond, Seed: seed,
		Kinds: []loader.Kind{
			{Name: "read-record", Class: "Browse", Service: "archive", Method: http.MethodGet, Path: "/records", Share: 1 - images, Timeout: patientCaller},
			{Name: "view-image", Class: "Browse", Service: "archive", Method: http.MethodGet, Path: "/images", Share: images, Timeout: patientCaller, AnswerSize: imageSize},
		},
	})
}

// cutter passes on the first bytes of an answer and then breaks off.
type cutter struct {
	http.ResponseWriter
	left int
}

func (c *cutter) Write(b []byte) (int, error) {
	if len(b) < c.left {
		c.left -= len(b)
		return c.ResponseWriter.Write(b)
	}
	_, _ = c.ResponseWriter.Write(b[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// TestP3BackendBreaksOff guards against a streamed answer that the caller takes
// for whole although the backend server broke it off, with and without a
// Content-Length.
func TestP3BackendBreaksOff(t *testing.T) {
	var mu sync.Mutex
	cuts, seen := 0, make(map[string]bool)
	f := archive(t, func(_ int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key := r.Header.Get(worker.HeaderKey)
			mu.Lock()
			// Only the first request of a key is cut: the answer to another try
			// must not follow the beginning of the first one.
			cut := strings.HasPrefix(r.URL.Path, "/images") && !seen[key] && !strings.HasSuffix(key, "0")
			seen[key] = true
			if cut {
				cuts++
			}
			sized := cuts%2 == 0
			mu.Unlock()
			switch {
			case !cut:
				h.ServeHTTP(w, r)
			case sized:
				h.ServeHTTP(&cutter{ResponseWriter: w, left: 300_000}, r)
			default:
				h.ServeHTTP(&cutter{ResponseWriter: unsized{w}, left: 300_000}, r)
			}
		})
	})
	l, stop := readers(11, 150, f, 0.3)
	eventually(t, "broken-off answers", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return cuts >= 60 && tries(l, whole) >= 300
	})
	stop()
	f.judge(l)
	long := 0
	for _, r := range l.Records() {
		if _, ok := r.Latency(); ok && r.Kind == "view-image" {
			long++
		}
	}
	broken := tries(l, func(t loader.Try) bool { return t.Broken })
	if long == 0 || broken == 0 {
		t.Errorf("%d long answers whole, %d broken off, want some of both", long, broken)
	}
	t.Logf("%d answers cut by backend servers, %d seen as broken off, %d long answers whole", cuts, broken, long)
}

// unsized drops the Content-Length, so that the answer is sent in chunks.
type unsized struct{ http.ResponseWriter }

func (u unsized) WriteHeader(status int) {
	u.Header().Del("Content-Length")
	u.ResponseWriter.WriteHeader(status)
}

func (u unsized) Write(b []byte) (int, error) {
	u.Header().Del("Content-Length")
	return u.ResponseWriter.Write(b)
}

func (u unsized) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// TestP3LateAnswers guards against an answer that arrives after its request was
// sent again and reaches another caller, or the same one twice.
func TestP3LateAnswers(t *testing.T) {
	f := archive(t, nil)
	// Runs of 100 ms, so that some are under way whenever a link is delayed.
	for _, n := range f.of("archive") {
		n.worker.SetSlow(5)
	}
	l, stop := readers(12, 60, f, 0.1)
	late := func(t loader.Try) bool { return t.Whole && t.End.Sub(t.Begin) > 900*time.Millisecond }
	rounds := func(delay func()) {
		for range 3 {
			began := time.Now()
			// 150 requests fill the retry budget of the service again.
			eventually(t, "whole answers", func() bool {
				return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(began) }) >= 150
			})
			delay()
			delayed := time.Now()
			eventually(t, "requests after the delay", func() bool {
				return tries(l, func(t loader.Try) bool { return t.Whole && t.Begin.After(delayed.Add(2*time.Second)) }) >= 60
			})
		}
	}
	// The link is abandoned after 1 s; what was under way arrives after 1.5 s.
	rounds(func() {
		f.eachLink(func(r *relayer.Relay) { r.SetDelay(1500 * time.Millisecond) })
		time.Sleep(300 * time.Millisecond)
		f.eachLink(func(r *relayer.Relay) { r.SetDelay(0) })
	})
	// One instance gets and runs requests and its answers wait, also those to
	// the question what became of them, so that they are sent again elsewhere.
	// Of the requests that are delayed both ways few have run by then.
	rounds(func() {
		held := f.of("archive")[0].toNode
		held.SetOneWay(true)
		time.Sleep(2500 * time.Millisecond)
		held.SetOneWay(false)
	})
	stop()
	v := f.judge(l)
	if v.MaxAttempts < 2 || tries(l, late) == 0 {
		t.Errorf("%d answers came after a retry, at most %d attempts for a request; want some and 2", tries(l, late), v.MaxAttempts)
	}
	t.Logf("%d answers came after a retry, at most %d attempts for a request", tries(l, late), v.MaxAttempts)
}
