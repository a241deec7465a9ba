package exchanger

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

// Guards against a connection that carries an ID twice, whatever it has carried in
// between: a copy of the first response would be taken for the second one. It must be
// usable again for other requests, and for the ID once that can't be sent again.
func TestCarried(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var c carried
	got := []bool{c.empty(), c.ambiguous("a"), c.ambiguous("")}
	c.add(at(0), "a", at(5))
	for n := range 1000 {
		c.add(at(0.005*float64(n)), fmt.Sprint("b-", n), at(5+0.005*float64(n)))
	}
	got = append(got, c.empty(), c.ambiguous("a"), c.ambiguous("b-999"), c.ambiguous("other"), c.ambiguous(""))
	for n := range 1000 {
		c.add(at(7+0.005*float64(n)), fmt.Sprint("c-", n), at(12+0.005*float64(n)))
	}
	got = append(got, c.ambiguous("a"), c.full())
	for n := range maxCarried {
		c.add(at(20), fmt.Sprint("d-", n), time.Time{})
	}
	got = append(got, c.full())
	want := []bool{true, false, false, false, true, true, false, true, false, false, true}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}

// Guards against a resent request on the connection that carried it before, and against a
// new connection for each other request.
func TestSameIDOnAnotherConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var connections atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answerAll(c)
		}
	}()
	client := New(Config{Address: l.Addr().String(), IdleTime: time.Minute})
	defer client.Close()
	send := func(id string) {
		resp, err := client.Do(t.Context(), Request{
			Call: connector.Call{Method: http.MethodGet, Path: "/"}, Header: http.Header{"Host": {"a.example"}, "X-Id": {id}}, DeadlineHeader: "X-Left", ID: id, IDHeader: "X-Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	send("x")
	for n := range 20 {
		send(fmt.Sprint("y-", n))
	}
	first := connections.Load()
	send("x")
	if d := cmp.Diff([]int64{1, 2}, []int64{first, connections.Load()}); d != "" {
		t.Errorf("connections: -want +got:\n%s", d)
	}
}

// answerAll answers all requests on a connection with their IDs.
func answerAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
	}
}
