package prover

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/classifier"
)

// script writes an answer to the connection of a request whose body is unread. The
// connection is closed when it returns.
type script func(c *net.TCPConn, rest io.Reader)

// scriptedServer is a backend server that answers with a script; with an empty answer
// while it has none.
type scriptedServer struct {
	mu     sync.Mutex
	answer script
}

func (s *scriptedServer) set(answer script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *scriptedServer) wrap(_ int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		answer := s.answer
		s.mu.Unlock()
		if answer == nil || !strings.HasPrefix(r.URL.Path, "/images") {
			h.ServeHTTP(w, r)
			return
		}
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		answer(c.(*net.TCPConn), buffered)
	})
}

// startScripted returns a fleet of two nodes: the entry, and one beside the scripted
// server.
func startScripted(t *testing.T) (*fleet, *scriptedServer) {
	server := &scriptedServer{}
	return startDirect(t, server.wrap), server
}

// startDirect returns a fleet of two nodes: the entry, and one beside a server whose handler
// wrap replaces. Its requests are not idempotent.
func startDirect(t *testing.T, wrap func(int, http.Handler) http.Handler) *fleet {
	return start(t, []string{"waw-a"},
		service{name: "desk", instances: 1, slots: 16},
		service{
			name: "archive", instances: 1, slots: 64, wrap: wrap, direct: true,
			kinds: []classifier.Kind{{
				Name: "store-image", Service: "archive", Methods: []string{http.MethodPost}, PathPrefix: "/images", Class: classifier.ClassStandard,
				Timeout: longTimeout, Allowance: allowance,
			}},
		})
}

// post sends a request through the first node as postTo does.
func (f *fleet) post(body []byte) string { return f.postTo(f.nodes[0], "/images/1", body) }

// postTo sends a request for a path of the archive through a node and describes its
// answer: its status with the length of the body, or "broken off".
func (f *fleet) postTo(n *node, path string, body []byte) string {
	client := http.Client{Timeout: 2 * longTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+n.entry+"/archive"+path, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	length, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return "broken off"
	}
	return fmt.Sprintf("%d %s, %d bytes", resp.StatusCode, resp.Header.Get("Crocus-Outcome"), length)
}

// unknown is what post returns if the answer of the backend server was refused.
func unknown(reason string) string {
	return fmt.Sprintf("504 Unknown, %d bytes", len("Unknown ("+reason+"): the request may or may not have run\n"))
}

// TestP3BrokenAnswers guards, for nodes with the project's own interface, against answers
// that broke off or are none in the protocol and reach the caller as complete ones, and
// against sound answers that are taken for broken ones.
func TestP3BrokenAnswers(t *testing.T) {
	f, server := startScripted(t)
	const uploadBytes, pause = 12 << 20, 100 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	unframed := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 2000)
	reset := func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }
	read := func(c *net.TCPConn, rest io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, rest)
	}
	for _, c := range []struct {
		name, answer string
		upload       int
		end          script
		want         string
	}{
		{"reset during an upload", unframed, uploadBytes, reset, unknown("Broken")},
		{"close during an upload", unframed, uploadBytes, func(*net.TCPConn, io.Reader) {}, unknown("Broken")},
		{"end during an upload", unframed, uploadBytes, read, "200 Ran, 2000 bytes"},
		{"status 000", "HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwhole", 0, read, unknown("BackendLost")},
		{"status 999", "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\nwhole", 0, read, unknown("BackendLost")},
		{"blank in a name", head + "X Odd: a\r\n\r\nwhole", 0, read, unknown("BackendLost")},
		{"control byte in a name", head + "X-\x01Odd: a\r\n\r\nwhole", 0, read, unknown("BackendLost")},
		{"blank after Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 0, read, unknown("BackendLost")},
		{"folded field", head + "X-Odd: a\r\n b\r\n\r\nwhole", 0, read, unknown("BackendLost")},
		{"head of 1 MB", head + strings.Repeat("X-A: b\r\n", 1<<17) + "\r\nwhole", 0, read, unknown("BackendLost")},
		{"plain", head + "X-A: caf\xe9\r\n\r\nwhole", 0, read, "200 Ran, 5 bytes"},
		{"interim answers", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nwhole", 0, read, "200 Ran, 5 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.set(func(cn *net.TCPConn, rest io.Reader) {
				_, _ = io.WriteString(cn, c.answer)
				if c.upload > 0 {
					time.Sleep(pause)
				}
				c.end(cn, rest)
			})
			const times = 6
			got := make(map[string]int)
			for range times {
				got[f.post(make([]byte, c.upload))]++
			}
			if d := cmp.Diff(map[string]int{c.want: times}, got); d != "" {
				t.Errorf("-want +got:\n%s", d)
			}
		})
	}
}

// TestP3OldClient guards against a long answer that breaks off and that a client of
// HTTP/1.0, for which the end of the connection ends an answer, takes for complete.
func TestP3OldClient(t *testing.T) {
	f, server := startScripted(t)
	const stated = 600_000
	for _, c := range []struct {
		name  string
		sent  int
		whole bool
	}{{"whole", stated, true}, {"broken off", stated - 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			server.set(func(cn *net.TCPConn, _ io.Reader) {
				_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", stated, strings.Repeat("a", c.sent))
			})
			cn, err := net.Dial("tcp", f.nodes[0].entry)
			check(t, err)
			defer func() { _ = cn.Close() }()
			_, err = io.WriteString(cn, "POST /archive/images/1 HTTP/1.0\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
			check(t, err)
			got, err := io.ReadAll(cn)
			_, body, _ := bytes.Cut(got, []byte("\r\n\r\n"))
			if whole := err == nil; whole != c.whole || whole && len(body) != stated {
				t.Errorf("%d bytes, error %v; want a complete answer: %t", len(body), err, c.whole)
			}
		})
	}
}

// TestP3HeadThatStops guards against an answer whose head, interim head, chunks or trailer
// stop midway and that reaches the caller framed as a whole one. It is cut at every byte.
func TestP3HeadThatStops(t *testing.T) {
	f, server := startScripted(t)
	for _, c := range []struct {
		name, answer string
		// body is the number of bytes at the end that may be missing, since only the end of
		// the connection ends the body.
		body int
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 0},
		{"interim head and chunks with a trailer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n", 0},
		{"until the end", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nwhole", len("whole")},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, want := make(map[string]int), map[string]int{"whole: 200 Ran, 5 bytes": 2}
			for n := 0; n <= len(c.answer); n++ {
				if n < len(c.answer) && n >= len(c.answer)-c.body {
					continue
				}
				for _, end := range []script{func(*net.TCPConn, io.Reader) {}, func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }} {
					server.set(func(cn *net.TCPConn, rest io.Reader) {
						_, _ = io.WriteString(cn, c.answer[:n])
						if n == len(c.answer) {
							return
						}
						end(cn, rest)
					})
					answer := f.postTo(f.nodes[n%2], "/images/1", nil)
					switch {
					case n == len(c.answer):
						got["whole: "+answer]++
					case strings.HasPrefix(answer, "200"):
						got[fmt.Sprintf("%d of %d bytes: %s", n, len(c.answer), answer)]++
					}
				}
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("-want +got:\n%s", d)
			}
		})
	}
}
