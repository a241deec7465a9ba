package composer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// TestBytesWithoutEnd guards against memory that grows with what a backend server sends
// without end, in a head or a body, until its connection is closed, and against requests
// of other clients that fail beside it: 50 requests at once must not get a complete
// answer, and the heap of two nodes, the server and the clients together must stay below
// what one node may use on the smallest machine.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		requests  = 50
		heapBytes = 184e6
	)
	f := newFleet(t, "other", "s")
	route := func(name, service string) connector.Route {
		return connector.Route{Name: name, Host: host, Prefix: "/" + name + "/", Timeout: 2 * time.Second, MaxAttempts: 1, Shares: []connector.Share{{Service: service, Weight: 1}}}
	}
	f.publishRoutes(route("write", "s"), route("sound", "other"))
	sound := func(id string) standin.Result {
		return f.send(0, standin.Request{ID: id, Method: http.MethodPost, Target: "/sound/x"})
	}
	f.eventually("the new routes", func() bool { return sound(fmt.Sprint("n-", time.Now().UnixNano())).Proof })
	head := okLine + stamped
	for _, c := range []struct{ name, head, repeated string }{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("a", 32<<10)},
		{"one field", "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 32<<10)},
		{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 4<<10)},
		{"no HTTP", "", strings.Repeat("\x00\x01\x02", 10<<10)},
		{"early hints", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		{"answers to others", "", strings.Repeat(okLine+standin.IDField("other")+"Content-Length: 0\r\n\r\n", 1<<10)},
		{"body of another answer", okLine + standin.IDField("other") + "\r\n", strings.Repeat("a", 32<<10)},
		{"body of a refusal", okLine + standin.RefusalFields("ID") + "\r\n", strings.Repeat("a", 32<<10)},
		{"body without a stamp", okLine + standin.IDField("ID") + "\r\n", strings.Repeat("a", 32<<10)},
		{"body", head + "\r\n", strings.Repeat("a", 32<<10)},
		{"body of a huge length", head + "Content-Length: 999999999999\r\n\r\n", strings.Repeat("a", 32<<10)},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 32<<10)},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("a", 32<<10)},
		{"tiny chunks", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 4<<10)},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 4<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.machines[1].backend.AnswerWith(func(cn *net.TCPConn, _ io.Reader, id string) {
				_, err := io.WriteString(cn, strings.ReplaceAll(c.head, "ID", id))
				for err == nil {
					_, err = io.WriteString(cn, c.repeated)
				}
			})
			stop := make(chan struct{})
			highest := standin.WatchHeap(stop)
			outcomes := make([]string, requests)
			beside := make([]string, requests)
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					outcomes[i] = "no complete answer of the server"
					if got := f.send(0, standin.Request{ID: fmt.Sprint(c.name, i), Method: http.MethodPost, Target: "/write/x", Discard: true}); got.Proof {
						outcomes[i] = fmt.Sprintf("status %d, %d bytes", got.Status, len(got.Body))
					}
				})
				wg.Go(func() { beside[i] = fmt.Sprint(sound(fmt.Sprint("sound ", c.name, i)).Status) })
			}
			wg.Wait()
			close(stop)
			n := <-highest
			t.Logf("heap %d", n)
			if n > heapBytes {
				t.Errorf("heap of %d bytes, want at most %.0f", n, heapBytes)
			}
			if d := cmp.Diff(repeated("no complete answer of the server", requests), outcomes); d != "" {
				t.Errorf("-want +got:\n%s", d)
			}
			if d := cmp.Diff(repeated("200", requests), beside); d != "" {
				t.Errorf("other requests: -want +got:\n%s", d)
			}
		})
	}
}

func repeated(s string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = s
	}
	return out
}
