package prober

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a health response that stops midway and takes its backend server out of
// use: it is cut at every byte, and only the whole one states that the server drains.
func TestResponseThatStops(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n{\"State\": \"Draining\"}"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n{\"State\": \"Draining\"}\r\n0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	responses := make(chan string)
	go func() {
		for text := range responses {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}()
	p := New("http://" + l.Addr().String() + "/health")
	draining := make(map[string][]int)
	for _, text := range []string{whole, chunked} {
		for n := 1; n <= len(text); n++ {
			responses <- text[:n]
			if p.isDraining(t.Context()) {
				draining[text] = append(draining[text], n)
			}
		}
	}
	close(responses)
	if d := cmp.Diff(map[string][]int{whole: {len(whole)}, chunked: {len(chunked)}}, draining); d != "" {
		t.Errorf("lengths of the responses that count: -want +got:\n%s", d)
	}
}
