package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that an upstream has begun to work on.
type run struct {
	ID, Upstream, Service, Method, Target, Caller string
	BodyBytes                                     int
	At                                            time.Time
}

// upstream is a stand-in for one application upstream.
type upstream struct {
	id, service, address string
	slots                int
	rec                  *recorder
	// work is how long a run takes. reply is the size of the body of an answer.
	work func(r *http.Request) time.Duration
	// readRate is the number of bytes of a request body that the upstream reads a
	// second; 0 for no bound.
	readRate int
	reply    func(r *http.Request) int

	mu   sync.Mutex
	busy int
	runs []run
	// arrived holds the ids of all requests whose head has arrived.
	arrived []string
	l       net.Listener
	conns   map[net.Conn]bool
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.l, u.conns = l, make(map[net.Conn]bool)
	u.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return nil
}

// idleTimeout is how long an upstream keeps an idle connection.
const idleTimeout = 10 * time.Second

func (u *upstream) serve(c net.Conn) {
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := r.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !u.answer(c, req) {
			return
		}
	}
}

// answer runs or refuses one request and reports whether the connection can serve
// another one.
func (u *upstream) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	u.mu.Lock()
	u.arrived = append(u.arrived, id)
	u.mu.Unlock()
	n, err := u.readBody(req.Body)
	if err != nil {
		return false
	}
	if want := req.Header.Get("X-Target-Instance"); want != "" && want != u.id {
		u.rec.log("upstream %s refuses %s with 421", u.id, id)
		return u.write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.id))
	}
	u.mu.Lock()
	if u.busy >= u.slots {
		u.mu.Unlock()
		u.rec.log("upstream %s refuses %s: full", u.id, id)
		return u.write(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id))
	}
	u.busy++
	u.runs = append(u.runs, run{
		ID: id, Upstream: u.id, Service: u.service, Method: req.Method, Target: req.RequestURI,
		Caller: req.Header.Get("X-Caller-Service"), BodyBytes: int(n), At: time.Now(),
	})
	u.mu.Unlock()
	u.rec.log("upstream %s runs %s: %s %s, %d bytes, caller %s", u.id, id, req.Method, req.RequestURI, n, req.Header.Get("X-Caller-Service"))
	time.Sleep(u.work(req))
	u.mu.Lock()
	u.busy--
	u.mu.Unlock()
	size := 100
	if u.reply != nil {
		size = u.reply(req)
	}
	body := strings.Repeat("x", size)
	return u.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: proof.%s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, u.id, id, len(body), body))
}

// readStep is the time for which an upstream that reads slowly reads at once.
const readStep = 20 * time.Millisecond

func (u *upstream) readBody(r io.Reader) (int64, error) {
	if u.readRate == 0 {
		return io.Copy(io.Discard, r)
	}
	total := int64(0)
	part := int64(u.readRate) * int64(readStep) / int64(time.Second)
	for {
		n, err := io.CopyN(io.Discard, r, part)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(readStep)
	}
}

func (u *upstream) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// end closes the listener and all connections, as the end of the process does.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.l.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

// ran returns the runs so far.
func (u *upstream) ran() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

// seen returns the ids of the requests that have arrived so far.
func (u *upstream) seen() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.arrived...)
}
