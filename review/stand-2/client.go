package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// pace is how a client reads an answer: at most bytes at a time, with a pause after
// each. The zero value reads at once.
type pace struct {
	bytes int
	pause time.Duration
}

type pacedReader struct {
	r io.Reader
	p pace
}

func (r pacedReader) Read(b []byte) (int, error) {
	if r.p.bytes == 0 {
		return r.r.Read(b)
	}
	time.Sleep(r.p.pause)
	return r.r.Read(b[:min(len(b), r.p.bytes)])
}

// outcome is what a client got.
type outcome struct {
	status int // 0 for none.
	// whole is true if the answer was complete and bore the server's proof.
	whole bool
	bytes int64
	err   error
}

// dialClient opens a connection of a client. window, if not 0, is the size of its
// receive buffer: that of a client on a slow link.
func dialClient(address string, window int) (net.Conn, error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	if window > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			})
		}
	}
	return d.Dial("tcp", address)
}

// requestHead returns the head of a request.
func requestHead(method, path, host, id string, deadline time.Duration, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if length > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// readOutcome reads an answer at a pace until a deadline.
func readOutcome(conn net.Conn, method, id string, p pace, limit time.Duration) outcome {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReaderSize(pacedReader{conn, p}, 4096), &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	o := outcome{status: resp.StatusCode, bytes: n, err: err}
	o.whole = err == nil && resp.Header.Get("X-Response-Stamp") != "" && resp.Header.Get("X-Attempt-Id") == id
	return o
}

// ask sends one request on a connection of its own.
func ask(n *node, method, path, id string, deadline time.Duration, body []byte) outcome {
	conn, err := dialClient(n.outbound(), 0)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(append([]byte(requestHead(method, path, host, id, deadline, len(body))), body...)); err != nil {
		return outcome{err: err}
	}
	return readOutcome(conn, method, id, pace{}, deadline+2*time.Second)
}
