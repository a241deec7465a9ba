package prover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// repeatingServer is a backend server that refuses the requests for refusedPath and
// writes each refusal again on the same connection.
type repeatingServer struct {
	mu sync.Mutex
	// repeat writes a refusal again. It is called when the head of the next request has
	// been read, or at once if early is set.
	repeat func(c net.Conn, refusal string)
	early  bool
	// silent is true if answers state no exchange, as those of an old server.
	silent bool
	// connections and runs count what the server has seen, runs by path.
	connections int
	runs        map[string]int
}

const refusedPath = "/images/refused"

// reset sets the behaviour and clears the counts.
func (s *repeatingServer) reset(silent, early bool, repeat func(net.Conn, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.early, s.repeat, s.connections, s.runs = silent, early, repeat, 0, make(map[string]int)
}

func (s *repeatingServer) wrap(int, http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		s.serve(c, buffered.Reader, r)
	})
}

// serve answers the requests of a connection, from the first one on.
func (s *repeatingServer) serve(c net.Conn, rest *bufio.Reader, r *http.Request) {
	refusal := ""
	for {
		s.mu.Lock()
		repeat, early, silent := s.repeat, s.early, s.silent
		if r.Method == http.MethodPost && r.URL.Path != refusedPath {
			s.runs[r.URL.Path]++
		}
		s.mu.Unlock()
		fields := "Crocus-Exchange: " + r.Header.Get("Crocus-Exchange") + "\r\n"
		if silent {
			fields = ""
		}
		if refusal != "" && !early {
			repeat(c, refusal)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == refusedPath {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nCrocus-Outcome: NotRun\r\n" + fields + "Content-Length: 7\r\n\r\nrefused"
			_, _ = io.WriteString(c, refusal)
			if early {
				repeat(c, refusal)
			}
		} else {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\n\r\nwhole")
		}
		var err error
		if r, err = http.ReadRequest(rest); err != nil {
			return
		}
	}
}

// startRepeating returns a fleet of the entry and a node beside the repeating server.
func startRepeating(t *testing.T) (*fleet, *repeatingServer) {
	server := &repeatingServer{}
	server.reset(false, false, func(net.Conn, string) {})
	return startDirect(t, server.wrap), server
}

// TestP2RefusalTwice guards against a request that is reported as not run although its
// server ran it: the server writes an earlier refusal once more on the connection, and
// nothing showed which request a refusal answers. Servers that state no exchange must be
// served too.
func TestP2RefusalTwice(t *testing.T) {
	f, server := startRepeating(t)
	const upload, pause = 4 << 20, 20 * time.Millisecond
	write := func(c net.Conn, text string) { _, _ = io.WriteString(c, text) }
	once := func(c net.Conn, refusal string) {
		write(c, refusal)
		time.Sleep(pause)
	}
	cases := []struct {
		name   string
		early  bool
		upload int
		repeat func(net.Conn, string)
	}{
		{"while the next request runs", false, 0, once},
		{"during an upload", false, upload, once},
		{"at once", true, 0, func(c net.Conn, refusal string) { write(c, refusal) }},
		{"before the next request", true, 0, func(c net.Conn, refusal string) {
			time.Sleep(pause / 4)
			write(c, refusal)
		}},
		{"three times", false, 0, func(c net.Conn, refusal string) { once(c, strings.Repeat(refusal, 3)) }},
		{"in two parts", false, 0, func(c net.Conn, refusal string) {
			once(c, refusal[:20])
			write(c, refusal[20:])
		}},
		{"first part before the next request", true, 0, func(c net.Conn, refusal string) {
			write(c, refusal[:20])
			time.Sleep(pause / 2)
			write(c, refusal[20:])
		}},
	}
	// A server that states no exchange leaves no connection that the other one could use.
	for _, silent := range []bool{true, false} {
		for _, c := range cases {
			for entry, node := range f.nodes {
				t.Run(fmt.Sprintf("%s, silent %t, entry %d", c.name, silent, entry), func(t *testing.T) {
					server.reset(silent, c.early, c.repeat)
					got, want := make(map[string]string), make(map[string]string)
					for n := range 6 {
						path := fmt.Sprint("/images/", n)
						if got := f.postTo(node, refusedPath, nil); got != "503 NotRun, 49 bytes" {
							t.Errorf("a request that is refused got %q", got)
						}
						time.Sleep(pause / 2)
						want[path] = "200 Ran, 5 bytes, 1 runs"
						answer := f.postTo(node, path, make([]byte, c.upload))
						server.mu.Lock()
						got[path] = fmt.Sprintf("%s, %d runs", answer, server.runs[path])
						server.mu.Unlock()
					}
					if d := cmp.Diff(want, got); d != "" {
						t.Errorf("-want +got:\n%s", d)
					}
				})
			}
		}
	}
}

// TestP2ConnectionsReused guards against a new connection for each request to a server
// that states the exchange, and against a connection that carries two requests to one
// that doesn't.
func TestP2ConnectionsReused(t *testing.T) {
	f, server := startRepeating(t)
	const requests = 10
	for _, silent := range []bool{true, false} {
		want := 1
		if silent {
			want = requests
		}
		server.reset(silent, false, func(net.Conn, string) {})
		for n := range requests {
			if got := f.postTo(f.nodes[0], fmt.Sprint("/images/", n), nil); got != "200 Ran, 5 bytes" {
				t.Errorf("silent %t, request %d: %s", silent, n, got)
			}
		}
		server.mu.Lock()
		if server.connections != want {
			t.Errorf("silent %t: %d connections for %d requests, want %d", silent, server.connections, requests, want)
		}
		server.mu.Unlock()
	}
}
