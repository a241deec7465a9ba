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

	"crocustack/platform/standin"
)

// answersByID is a script that looks its answers up by the id of the request. It is safe
// for concurrent use.
type answersByID struct {
	mu      sync.Mutex
	answers map[string]cutAnswer
}

// cutAnswer is the beginning of an answer. The connection is reset after it, or ends
// orderly.
type cutAnswer struct {
	text  string
	reset bool
}

func (a *answersByID) write(c *net.TCPConn, rest io.Reader, id string) {
	a.mu.Lock()
	answer := a.answers[id]
	a.mu.Unlock()
	_, _ = io.WriteString(c, strings.ReplaceAll(answer.text, "ID", id))
	if answer.reset {
		time.Sleep(time.Millisecond) // Lets the node read what was sent.
		reset(c)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
}

// send registers an answer and sends its request through a node, with an old client in
// HTTP/1.0. It returns the status that came as a complete answer, or 0.
func (a *answersByID) send(f *fleet, entry int, id string, answer cutAnswer, old bool) int {
	a.mu.Lock()
	a.answers[id] = answer
	a.mu.Unlock()
	q := standin.Request{ID: id, Method: http.MethodPost, Target: "/write/x", Host: host}
	if !old {
		return f.send(entry, q).Status
	}
	c, err := net.Dial("tcp", net.JoinHostPort(f.machines[entry].address, f.outbound))
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, strings.Replace(standin.Head(q), "HTTP/1.1", "HTTP/1.0", 1)+"Content-Length: 0\r\n\r\n")
	got, err := io.ReadAll(c)
	status := 0
	if err != nil || !strings.Contains(string(got), "\r\n\r\n") {
		return 0
	}
	_, _ = fmt.Sscanf(string(got), "HTTP/1.1 %d", &status)
	return status
}

// TestHeadThatStops guards against an answer whose head, interim head, chunks or trailer
// stop midway and that reaches the client framed as a whole one, with an empty or a short
// body. It is cut at every byte; the whole one must be served.
func TestHeadThatStops(t *testing.T) {
	const atOnce = 32
	f := newAnswerFleet(t)
	script := &answersByID{answers: make(map[string]cutAnswer)}
	f.machines[1].backend.AnswerWith(script.write)
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for _, c := range []struct {
		name, answer string
		// uncut is the number of bytes at the end of the answer that may be missing: those
		// of a body that only the end of the connection ends.
		uncut int
	}{
		{"length", okLine + stamped + framed, 0},
		{"length after an interim head", interim + okLine + stamped + framed, 0},
		{"chunks", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 0},
		{"chunks and a trailer", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n", 0},
		{"until the end", okLine + stamped + "\r\nwhole", len("whole")},
		{"no body", "HTTP/1.1 204 No Content\r\n" + stamped + "\r\n", 0},
	} {
		for entry, way := range []string{"behind a link", "beside the server"} {
			t.Run(c.name+", "+way, func(t *testing.T) {
				var wg sync.WaitGroup
				var mu sync.Mutex
				got := make(map[string]int)
				slots := make(chan struct{}, atOnce)
				try := func(n int, reset, old bool) {
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						id := fmt.Sprintf("%s-%d-%d-%t-%t", strings.ReplaceAll(c.name, " ", "-"), entry, n, reset, old)
						status := script.send(f, entry, id, cutAnswer{c.answer[:n], reset}, old)
						mu.Lock()
						defer mu.Unlock()
						got[fmt.Sprintf("whole %t, success %t", n == len(c.answer), status/100 == 2)]++
					})
				}
				for _, old := range []bool{false, true} {
					for n := range len(c.answer) - c.uncut {
						try(n, false, old)
						try(n, true, old)
					}
					try(len(c.answer), false, old)
				}
				wg.Wait()
				want := map[string]int{"whole true, success true": 2, "whole false, success false": 4 * (len(c.answer) - c.uncut)}
				if d := cmp.Diff(want, got); d != "" {
					t.Errorf("-want +got:\n%s", d)
				}
			})
		}
	}
}
