package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got: status 0 means that the connection ended or nothing
// came in time.
type answer struct {
	status int
	proof  string
	id     string
	body   int
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, proof %q, %d bytes", a.status, a.proof, a.body)
}

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is one connection of a client. What it sends and gets is recorded.
type client struct {
	c net.Conn
	r *bufio.Reader
	m *machine // The machine of the client and of its node.
}

// connectTimeout is the time that a client allows for a new connection.
const connectTimeout = time.Second

// dial connects to the node of a machine.
func dial(m *machine) (*client, error) {
	c, err := net.DialTimeout("tcp", m.at(portOutbound), connectTimeout)
	if err != nil {
		m.f.rec.log("client at %s: no connection: %v", m.name, err)
		return nil, err
	}
	return &client{c: c, r: bufio.NewReader(c), m: m}, nil
}

// do sends one request with the target as it stands and reads the answer.
func (k *client) do(method, target, id string, budget time.Duration, body []byte) answer {
	k.m.f.rec.log("client at %s sends %s: %s %s, %d bytes, budget %v", k.m.name, id, method, target, len(body), budget)
	a := k.exchange(method, target, id, budget, body)
	k.m.f.rec.log("client at %s gets for %s: %s", k.m.name, id, a)
	return a
}

func (k *client) exchange(method, target, id string, budget time.Duration, body []byte) answer {
	end := time.Now().Add(budget)
	_ = k.c.SetDeadline(end)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, budget.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(k.c, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	if len(body) > 0 {
		if _, err := k.c.Write(body); err != nil {
			// The node may have answered before it has read the body.
			if a := k.read(method); a.err == nil {
				return a
			}
			return answer{err: err}
		}
	}
	return k.read(method)
}

func (k *client) read(method string) answer {
	resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, proof: resp.Header.Get("X-Response-Stamp"), id: resp.Header.Get("X-Attempt-Id"), body: int(n)}
}

func (k *client) close() { _ = k.c.Close() }

// once sends one request on a new connection.
func once(m *machine, method, target, id string, budget time.Duration, body []byte) answer {
	k, err := dial(m)
	if err != nil {
		return answer{err: err}
	}
	defer k.close()
	return k.do(method, target, id, budget, body)
}
