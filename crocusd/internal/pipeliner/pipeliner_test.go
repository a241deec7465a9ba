package pipeliner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/bodyreader"
)

// patience is how long a test waits for anything: far longer than it should take.
const patience = 20 * time.Second

// testingT is what the helpers need of a *testing.T or a *rapid.T.
type testingT interface {
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

// start starts a server. Requests of paths that begin with /safe may begin early.
func start(t testingT, h http.HandlerFunc, bounds Bounds) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	s, err := Serve(logr.Discard(), address, Config{
		Handler: h, Bounds: func() Bounds { return bounds }, Budget: bodyreader.NewBudget(4<<20, 1<<20),
		Early: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") },
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func dial(t testingT, s *Server) net.Conn {
	c, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// TestRequestsSentAhead guards against requests that wait for each other although they
// may run side by side, and against answers in another order than that of the requests.
func TestRequestsSentAhead(t *testing.T) {
	const requests, latency = 4, 300 * time.Millisecond
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		_, _ = io.WriteString(w, r.URL.Path)
	}, Bounds{})
	defer func() { _ = s.Close() }()
	c := dial(t, s)
	defer func() { _ = c.Close() }()
	began := time.Now()
	for i := range requests {
		_, _ = io.WriteString(c, get(fmt.Sprint("/safe/", i)))
	}
	r := bufio.NewReader(c)
	for i := range requests {
		if got := readBody(r); got != fmt.Sprint("/safe/", i) {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
	if took := time.Since(began); took > 2*latency {
		t.Errorf("%d requests of %v took %v, want about as long as one", requests, latency, took)
	}
}

func readBody(r *bufio.Reader) string {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err.Error()
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// step is one request of TestAnswersStayWithTheirRequests and how its handler treats it.
type step struct {
	safe, body, closes, aborts, refuses bool
	answer                              int
	ms                                  int
}

// TestAnswersStayWithTheirRequests guards against an answer that goes to another request
// of its connection, a request that may not run twice and begins behind an answer that
// could still close the connection, and one that began and gets no answer because
// another one broke off: over random schedules of slow and failing handlers, long
// answers, refusals, closing answers and slow readers.
func TestAnswersStayWithTheirRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			odds := rapid.IntRange(0, 19).Draw(rt, "odds")
			return step{
				safe: rapid.Bool().Draw(rt, "safe"), body: odds < 4, closes: odds == 5, aborts: odds == 6, refuses: odds == 7,
				answer: rapid.SampledFrom([]int{0, 10, 5000, 200_000}).Draw(rt, "answer"), ms: rapid.IntRange(0, 3).Draw(rt, "ms"),
			}
		}), 1, 12).Draw(rt, "steps")
		var mu sync.Mutex
		began, ended := map[int]bool{}, map[int]bool{}
		s := start(rt, func(w http.ResponseWriter, r *http.Request) {
			var i int
			_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "%d", &i)
			st := steps[i]
			mu.Lock()
			for before := range i {
				if (!st.safe || st.body) && !ended[before] {
					rt.Errorf("request %d began before request %d had ended", i, before)
				}
			}
			began[i] = true
			mu.Unlock()
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(time.Duration(st.ms) * time.Millisecond)
			mu.Lock()
			ended[i] = true
			mu.Unlock()
			if st.closes {
				w.Header().Set("Connection", "close")
			}
			if st.refuses {
				http.Error(w, fmt.Sprint(i, ":"), http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprintf(w, "%d:", i)
			for left := st.answer; left > 0; left -= 1000 {
				_, _ = w.Write(make([]byte, min(left, 1000)))
			}
			if st.aborts {
				panic(http.ErrAbortHandler)
			}
		}, Bounds{})
		defer func() { _ = s.Close() }()
		c := dial(rt, s)
		defer func() { _ = c.Close() }()
		go func() {
			for i, st := range steps {
				path := fmt.Sprint("/once/", i)
				if st.safe {
					path = fmt.Sprint("/safe/", i)
				}
				if st.body {
					_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", path)
				} else {
					_, _ = io.WriteString(c, get(path))
				}
			}
		}()
		answered, closed := 0, false
		var failure error
		r := bufio.NewReader(c)
		for i, st := range steps {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				failure = err
				break
			}
			if closed {
				rt.Fatalf("answer %d behind one that closes the connection", i)
			}
			closed = resp.Close
			b, err := io.ReadAll(resp.Body)
			if st.aborts && resp.StatusCode == http.StatusBadGateway && string(b) == brokenText {
				answered++
				continue
			}
			if !strings.HasPrefix(string(b), fmt.Sprint(i, ":")) && err == nil {
				rt.Fatalf("answer %d begins with %.20q", i, b)
			}
			if err != nil {
				failure = err
				break
			}
			if want := len(fmt.Sprint(i, ":")) + st.answer; !st.refuses && (st.aborts || len(b) != want) {
				rt.Fatalf("answer %d of %d bytes looks complete, want %d, aborted %t", i, len(b), want, st.aborts)
			}
			answered++
		}
		mu.Lock()
		defer mu.Unlock()
		for i, st := range steps {
			if i < answered && !began[i] {
				rt.Errorf("request %d was answered and not run", i)
			}
			if began[i] && i >= answered && !st.aborts {
				rt.Errorf("request %d (%+v) began and got no answer; %d answered, then %v", i, st, answered, failure)
			}
		}
	})
}

// TestSmuggling guards against requests that two parsers read in different ways, so
// that a second one hides in the first: each ends in a 400 and a closed connection.
func TestSmuggling(t *testing.T) {
	hidden := "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, text := range map[string]string{
		"both lengths":         "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":          "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n" + hidden,
		"list of lengths":      "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 0, 36\r\n\r\n" + hidden,
		"signed length":        "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: +36\r\n\r\n" + hidden,
		"space before colon":   "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length : 36\r\n\r\n" + hidden,
		"folded field":         "POST /once HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 36\r\n\r\n" + hidden,
		"bare line feed":       "POST /once HTTP/1.1\r\nHost: a\nContent-Length: 36\r\n\r\n" + hidden,
		"bare carriage return": "POST /once HTTP/1.1\r\nHost: a\rContent-Length: 36\r\n\r\n" + hidden,
		"unknown coding":       "POST /once HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
		"two codings":          "POST /once HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two hosts":            "GET /once HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"no host":              "GET /once HTTP/1.1\r\n\r\n",
		"old version":          "GET /once HTTP/0.9\r\nHost: a\r\n\r\n",
		"space in the target":  "GET /once x HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var served []string
			s := start(t, func(_ http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				served = append(served, r.URL.Path)
			}, Bounds{})
			defer func() { _ = s.Close() }()
			c := dial(t, s)
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, text)
			got, _ := io.ReadAll(c)
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(string(got), "HTTP/1.1 400 ") || strings.Count(string(got), "HTTP/1.1") != 1 || served != nil {
				t.Errorf("answer %q, served %q; want one 400 and nothing served", got, served)
			}
		})
	}
}

// TestChunksThatLie guards against chunks with odd sizes that end a body early.
func TestChunksThatLie(t *testing.T) {
	for _, chunks := range []string{"-1\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "3 \nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "ffffffffffffffffff\r\n"} {
		s := start(t, func(w http.ResponseWriter, r *http.Request) {
			if b, err := io.ReadAll(r.Body); err == nil {
				t.Errorf("%q: read as a complete body %q", chunks, b)
			}
			w.WriteHeader(http.StatusBadRequest)
		}, Bounds{})
		c := dial(t, s)
		_, _ = io.WriteString(c, "POST /once HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks+"\r\n\r\n"+get("/hidden"))
		got, _ := io.ReadAll(c)
		if strings.Count(string(got), "HTTP/1.1 ") != 1 {
			t.Errorf("%q: answers %q, want one", chunks, got)
		}
		_ = c.Close()
		_ = s.Close()
	}
}

// TestClientLeaves guards against requests that go on for a client that has left, and
// against read-ahead that keeps the node from noticing it.
func TestClientLeaves(t *testing.T) {
	ended := make(chan struct{}, 64)
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			ended <- struct{}{}
		case <-time.After(patience):
		}
	}, Bounds{})
	defer func() { _ = s.Close() }()
	c := dial(t, s)
	for i := range 2 * maxAhead {
		_, _ = io.WriteString(c, get(fmt.Sprint("/safe/", i)))
	}
	for s.Work() < maxAhead {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	for range maxAhead {
		select {
		case <-ended:
		case <-time.After(patience / 2):
			t.Fatal("a request goes on although its client has left")
		}
	}
}

// TestStopAnswersWhatHasBegun guards against a planned stop that cuts off requests which
// were sent ahead and have begun.
func TestStopAnswersWhatHasBegun(t *testing.T) {
	release := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}, Bounds{})
	c := dial(t, s)
	defer func() { _ = c.Close() }()
	for i := range 3 {
		_, _ = io.WriteString(c, get(fmt.Sprint("/safe/", i)))
	}
	for s.Work() < 3 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	for !s.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	r := bufio.NewReader(c)
	var got []string
	var closes []bool
	for range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		got, closes = append(got, string(b)), append(closes, resp.Close)
	}
	if d := cmp.Diff([]string{"/safe/0", "/safe/1", "/safe/2"}, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	if d := cmp.Diff([]bool{false, false, true}, closes); d != "" {
		t.Errorf("closing answers: -want +got:\n%s", d)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// TestInvalidStatus guards against a status that no answer can have and that becomes 200.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 1000} {
		s := start(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body")
		}, Bounds{})
		c := dial(t, s)
		_, _ = io.WriteString(c, "GET /safe HTTP/1.1\r\nHost: a\r\n\r\n")
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Errorf("status %d: the client got %q, want a closed connection", status, got)
		}
		_ = c.Close()
		_ = s.Close()
	}
}

// TestOldClient guards against a client of HTTP/1.0 that waits for the end of a
// connection that stays open, and against chunks that it can't read.
func TestOldClient(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			_, _ = w.Write(make([]byte, 1000))
		}
	}, Bounds{})
	defer func() { _ = s.Close() }()
	c := dial(t, s)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /safe HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	got, err := io.ReadAll(c)
	head, body, _ := strings.Cut(string(got), "\r\n\r\n")
	if err != nil || len(body) != 10_000 || strings.Contains(head, "chunked") || !strings.Contains(head, "Connection: close") {
		t.Errorf("head %q, body of %d bytes, error %v; want 10000 bytes and a closed connection", head, len(body), err)
	}
}
