package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["restart"] = restartCase }

const (
	// Clients of three machines of one zone send book-close at the rate of zone waw-a of
	// kwit-mesh, 157 a second of which 2.3 of 9.12 are book-close, on 4 machines, for
	// askTime. The node stops at the end of that time.
	askInterval = time.Second * 4 * 912 / (157 * 230)
	askTime     = 1600 * time.Millisecond
	// longAnswer is the size of their answers.
	longAnswer = 500 << 10
	// A client reads firstPart bytes, nothing for readPause, and then the rest.
	firstPart = 16 << 10
	readPause = 4500 * time.Millisecond
	// segmentBytes is the largest segment of a client outside the machine.
	segmentBytes = 1400
	// receiveBuffer is the socket buffer of a client.
	receiveBuffer = 16 << 10
	// budget is the time budget of book-close on the sheet of kwit-mesh.
	budget = 5 * time.Second
)

// dialSmall connects with the segment size and the receive buffer of a client on
// another machine.
func dialSmall(m *machine) (*client, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	c, err := d.Dial("tcp", m.at(portOutbound))
	if err != nil {
		return nil, err
	}
	return &client{c: c, r: bufio.NewReaderSize(c, 4<<10), m: m}, nil
}

// readSlowly reads an answer with a pause after its first part.
func (k *client) readSlowly(method string) answer {
	resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, proof: resp.Header.Get("X-Response-Stamp"), id: resp.Header.Get("X-Attempt-Id")}
	n, err := io.CopyN(io.Discard, resp.Body, firstPart)
	if err == nil {
		var rest int64
		time.Sleep(readPause)
		rest, err = io.Copy(io.Discard, resp.Body)
		n += rest
	}
	a.body = int(n)
	if err != nil {
		a.err = fmt.Errorf("status %d, then the connection ended after %d bytes of the body: %w", a.status, a.body, err)
	}
	return a
}

// restartCase restarts one node as planned while clients of other nodes read long
// answers slowly, all within their time budget. The upstream goes on running.
func restartCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.perZone = 4
	work := func(*http.Request) time.Duration { return 120 * time.Millisecond }
	for range 2 {
		for _, s := range []string{"ksiegi", "archiwum", "skany", "numerator"} {
			m, err := f.add(s, 183, work)
			if err != nil {
				return verdict{}, err
			}
			m.up.reply = longReply
		}
	}
	f.publish(7, []route{{"book-close", "/ksiegi/", "unsafe", "ksiegi", budget, 1500 * time.Millisecond, 2}}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	results, err := f.restartUnderReaders(trouble)
	if err != nil {
		return verdict{}, err
	}
	ranAt := map[string]string{}
	for _, m := range f.machines {
		for _, r := range m.up.ran() {
			ranAt[r.ID] = r.Upstream + " at " + m.name
		}
	}
	lost, late := 0, 0
	for _, r := range results {
		rec.log("client at %s gets for %s after %.2f s: %s; run by %s", r.client, r.id, r.took.Seconds(), r.answer, ranAt[r.id])
		switch {
		case r.err == nil && r.body == longAnswer:
		case r.took >= budget-100*time.Millisecond:
			late++
		case r.err != nil && ranAt[r.id] != "":
			lost++
		}
	}
	return verdict{lost > 3, fmt.Sprintf("%d of %d requests from kept connections were run by a sound upstream and their connection was closed without a complete answer before the time budget; %d reached the budget",
		lost, len(results), late)}, nil
}

// longResult is what one client got for its long answer.
type longResult struct {
	client, id string
	took       time.Duration
	answer
}

// longPath is the path of the requests with a long answer.
const longPath = "/ksiegi/long"

func longReply(r *http.Request) int {
	if r.URL.Path == longPath {
		return longAnswer
	}
	return 1500
}

// restartUnderReaders lets clients of the first zone ask for long answers and then
// restarts the node beside that zone's upstream.
func (f *fleet) restartUnderReaders(trouble bool) ([]longResult, error) {
	restarted, others := f.machines[0], f.machines[1:f.perZone]
	var mu sync.Mutex
	var results []longResult
	var wg sync.WaitGroup
	for end, n := time.Now().Add(askTime), 0; time.Now().Before(end); n++ {
		m := others[n%len(others)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			k, err := dialSmall(m)
			if err != nil {
				f.rec.log("client at %s: no connection: %v", m.name, err)
				return
			}
			defer k.close()
			// The connection is a kept one: it has carried a request before.
			if first := k.do(http.MethodPost, "/ksiegi/short", newID(), budget, make([]byte, 4000)); first.status != http.StatusOK {
				return
			}
			got := k.askLong()
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		}()
		// Each client sends two requests, and a quarter of the zone's clients, those of
		// the machine that stops, are left out.
		time.Sleep(2 * askInterval / time.Duration(len(others)))
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := restarted.restart(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return results, nil
}

// grace is the bound of the same name.
const grace = 6 * time.Second

// restart stops the node as the platform does, and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	return m.start()
}

// askLong sends an unsafe request and reads its long answer slowly.
func (k *client) askLong() longResult {
	id, start := newID(), time.Now()
	_ = k.c.SetDeadline(start.Add(budget))
	k.m.f.rec.log("client at %s sends %s: POST %s on a kept connection, budget %v", k.m.name, id, longPath, budget)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4000\r\n\r\n%s",
		longPath, host, id, budget.Milliseconds(), strings.Repeat("b", 4000))
	a := answer{}
	if _, a.err = io.WriteString(k.c, head); a.err == nil {
		a = k.readSlowly(http.MethodPost)
	}
	return longResult{k.m.name, id, time.Since(start), a}
}
