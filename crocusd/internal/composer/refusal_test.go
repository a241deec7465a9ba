package composer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crocustack/platform/standin"
)

// repeatedRefusal is a script that refuses requests while refuse is true. On a connection
// on which it has refused one, it writes the refusal again before it runs the next one.
type repeatedRefusal struct {
	// head is the status line and the fields of the refusal, in which ID stands for the id
	// of the request.
	head atomic.Pointer[string]
	// repeat writes the refusal again.
	repeat atomic.Pointer[func(c net.Conn, refusal string)]
	refuse atomic.Bool
	runs   atomic.Int64
}

func (s *repeatedRefusal) serve(c *net.TCPConn, rest io.Reader, id string) {
	r := bufio.NewReader(rest)
	body := io.Reader(http.NoBody)
	if strings.HasPrefix(id, "long") {
		body = io.LimitReader(r, refusalUpload)
	}
	for refusal := ""; ; {
		refuse := s.refuse.Load()
		if !refuse {
			s.runs.Add(1)
		}
		if refusal != "" {
			(*s.repeat.Load())(c, refusal)
		}
		_, _ = io.Copy(io.Discard, body)
		fields := standin.AnswerFields(id)
		if id == "" {
			fields = standin.StampField
		}
		if refuse {
			refusal = strings.ReplaceAll(*s.head.Load(), "ID", id) + "Content-Length: 7\r\n\r\nrefused"
			_, _ = io.WriteString(c, refusal)
		} else {
			_, _ = io.WriteString(c, okLine+fields+framed)
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, id = req.Body, standin.RequestID(req)
	}
}

// refusalUpload is more than the sockets hold, so that a refusal comes while it is sent.
const refusalUpload = 8 << 20

// TestRefusalTwice guards against a request that is reported as not run, or runs at a
// second server, although its server ran it: the server writes an earlier refusal once
// more on the connection.
func TestRefusalTwice(t *testing.T) {
	f := newAnswerFleet(t)
	s := &repeatedRefusal{}
	f.machines[1].backend.AnswerWith(s.serve)
	const pause = 15 * time.Millisecond
	line := func(status int) string { return fmt.Sprintf("HTTP/1.1 %d Odd\r\n", status) }
	once := func(c net.Conn, refusal string) {
		_, _ = io.WriteString(c, refusal)
		time.Sleep(pause)
	}
	inParts := func(c net.Conn, refusal string) {
		once(c, refusal[:30])
		_, _ = io.WriteString(c, refusal[30:])
	}
	thrice := func(c net.Conn, refusal string) { once(c, strings.Repeat(refusal, 3)) }
	for _, c := range []struct {
		name, head string
		// nameless is true if the client states no id.
		nameless bool
		// refused is the status that the client gets for the refusal: a 503 would be a
		// promise that a refusal without an id doesn't prove.
		refused int
	}{
		{"503", line(503) + standin.RefusalFields("ID"), false, http.StatusServiceUnavailable},
		{"429", line(429) + standin.RefusalFields("ID"), false, http.StatusServiceUnavailable},
		{"421", line(421) + standin.IDField("ID"), false, http.StatusServiceUnavailable},
		{"400", line(400) + standin.RefusalFields("ID"), false, http.StatusServiceUnavailable},
		{"503 that names no request", line(503) + standin.RefusalField, false, http.StatusBadGateway},
		{"400 to a client without an id", line(400) + standin.RefusalField, true, http.StatusServiceUnavailable},
	} {
		for way, repeat := range map[string]func(net.Conn, string){"once": once, "in two parts": inParts, "three times": thrice} {
			for entry := range f.machines {
				t.Run(fmt.Sprintf("%s, %s, entry %d", c.name, way, entry), func(t *testing.T) {
					s.head.Store(&c.head)
					s.repeat.Store(&repeat)
					const times = 4
					for n := range times {
						kind, body := "short", ""
						if n%2 == 1 {
							kind, body = "long", strings.Repeat("u", refusalUpload)
						}
						f.requests++
						q := standin.Request{ID: fmt.Sprint(kind, "-", f.requests), Method: http.MethodPost, Target: "/write/x", Body: body}
						if c.nameless {
							q.ID, q.Body = "", ""
						}
						s.refuse.Store(true)
						if got := f.send(entry, q); got.Status != c.refused {
							t.Errorf("a request that is refused got %+v", got)
						}
						s.refuse.Store(false)
						before := s.runs.Load()
						q.ID += "-next"
						if c.nameless {
							q.ID = ""
						}
						got := f.send(entry, q)
						if runs := s.runs.Load() - before; got.Status != http.StatusOK || runs != 1 {
							t.Errorf("the next request got %+v and ran %d times", got, runs)
						}
					}
				})
			}
		}
	}
}
