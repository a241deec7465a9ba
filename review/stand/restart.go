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
	// slowReaders is the number of clients with a long answer.
	slowReaders = 40
	// longAnswer is the size of their answers.
	longAnswer = 500 << 10
	// A client reads firstPart bytes, nothing for readPause, and then the rest.
	firstPart = 16 << 10
	readPause = 3300 * time.Millisecond
	// segmentBytes is the largest segment of a client outside the machine.
	segmentBytes = 1400
	// receiveBuffer is the socket buffer of a client.
	receiveBuffer = 16 << 10
	// budget is the time budget of book-close on the sheet of kwit-mesh.
	budget = 5 * time.Second
)

// dialSmall connects with the segment size and the receive buffer of a client on
// another machine.
func dialSmall(address string) (*client, error) {
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
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{c: c, r: bufio.NewReaderSize(c, 4<<10)}, nil
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

// longResult is what one client got for its long answer.
type longResult struct {
	id   string
	took time.Duration
	answer
}

// restartCase restarts one node as planned while clients of another node read long
// answers slowly, all within their time budget. The upstream goes on running.
func restartCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 120 * time.Millisecond }
	for _, s := range []string{"ksiegi", "ksiegi", "archiwum", "archiwum"} {
		m, err := f.add(s, 183, work)
		if err != nil {
			return verdict{}, err
		}
		m.up.reply = func(r *http.Request) int {
			if r.URL.Path == longPath {
				return longAnswer
			}
			return 1500
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
		rec.log("%s after %.2f s: %s; run by %s", r.id, r.took.Seconds(), r.answer, ranAt[r.id])
		switch {
		case r.err == nil && r.body == longAnswer:
		case r.took >= budget-100*time.Millisecond:
			late++
		case ranAt[r.id] != "":
			lost++
		}
	}
	return verdict{lost > 3, fmt.Sprintf("%d of %d requests from kept connections were run by a sound upstream and their connection was closed without a complete answer before the time budget; %d reached the budget",
		lost, len(results), late)}, nil
}

// longPath is the path of the requests with a long answer.
const longPath = "/ksiegi/long"

// restartUnderReaders lets the clients of the last machine ask for long answers and restarts
// the node of the first one meanwhile.
func (f *fleet) restartUnderReaders(trouble bool) ([]longResult, error) {
	entry, restarted := f.machines[len(f.machines)-1], f.machines[0]
	var mu sync.Mutex
	var results []longResult
	var wg sync.WaitGroup
	for range slowReaders {
		k, err := dialSmall(entry.at(portOutbound))
		if err != nil {
			return nil, err
		}
		defer k.close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The connection is a kept one: it has carried a request before.
			if first := k.do(http.MethodPost, "/ksiegi/short", newID(), budget, make([]byte, 4000)); first.err != nil {
				f.rec.log("first request on a connection: %s", first)
				return
			}
			got := k.askLong(f.rec, entry)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		restarted.signal(syscall.SIGTERM)
		select {
		case <-restarted.ended:
		case <-time.After(6 * time.Second): // grace
			restarted.signal(syscall.SIGKILL)
			<-restarted.ended
		}
		if err := restarted.start(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return results, nil
}

// askLong sends an unsafe request and reads its long answer slowly.
func (k *client) askLong(rec *recorder, entry *machine) longResult {
	id, start := newID(), time.Now()
	_ = k.c.SetDeadline(start.Add(budget))
	rec.log("client at %s: %s POST %s on a kept connection", entry.name, id, longPath)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4000\r\n\r\n%s",
		longPath, host, id, budget.Milliseconds(), strings.Repeat("b", 4000))
	a := answer{}
	if _, a.err = io.WriteString(k.c, head); a.err == nil {
		a = k.readSlowly(http.MethodPost)
	}
	return longResult{id, time.Since(start), a}
}
