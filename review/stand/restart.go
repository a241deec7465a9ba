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
	slowReaders = 100
	// longAnswer is the size of their answers, and readRate how many bytes a second
	// they read.
	longAnswer = 1960 << 10
	readRate   = 360 << 10
	// segmentBytes is the largest segment of a client outside the machine.
	segmentBytes = 1400
	// receiveBuffer is the socket buffer of a client.
	receiveBuffer = 8 << 10
	// budget is the time budget of cert-issue on the sheet of nguyenthanh-mesh.
	budget = 6 * time.Second
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

// readSlowly reads an answer at readRate.
func (k *client) readSlowly(method string) answer {
	resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, proof: resp.Header.Get("X-Response-Stamp"), id: resp.Header.Get("X-Attempt-Id")}
	const step = 20 * time.Millisecond
	start, part := time.Now(), int64(readRate)*int64(step)/int64(time.Second)
	for n := time.Duration(1); ; n++ {
		got, err := io.CopyN(io.Discard, resp.Body, part)
		a.body += int(got)
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = fmt.Errorf("status %d, then the connection ended after %d bytes of the body: %w", a.status, a.body, err)
			return a
		}
		time.Sleep(time.Until(start.Add(n * step)))
	}
}

// restartCase restarts one node as planned while clients of another node read long
// answers slowly, all within their time budget. The upstream goes on running.
func restartCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 210 * time.Millisecond }
	for _, s := range []string{"certs", "certs", "reports", "reports"} {
		m, err := f.add(s, 183, work)
		if err != nil {
			return verdict{}, err
		}
		m.up.reply = func(r *http.Request) int {
			if strings.HasPrefix(r.URL.Path, "/certs/long/") {
				return longAnswer
			}
			return 1500
		}
	}
	f.publish(7, []route{{"cert-issue", "/certs/", "unsafe", "certs", budget, 2000 * time.Millisecond, 2}}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	entry, restarted := f.machines[3], f.machines[0]

	type result struct {
		id   string
		took time.Duration
		answer
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for n := range slowReaders {
		k, err := dialSmall(entry.at(portOutbound))
		if err != nil {
			return verdict{}, err
		}
		defer k.close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The connection is a kept one: it has carried a request before.
			if first := k.do(http.MethodPost, fmt.Sprintf("/certs/short/%x", n), newID(), budget, make([]byte, 4000)); first.err != nil {
				rec.log("first request on connection %d: %s", n, first)
				return
			}
			id, start := newID(), time.Now()
			_ = k.c.SetDeadline(start.Add(budget))
			rec.log("client at %s: %s POST /certs/long/%x on a kept connection", entry.name, id, n)
			head := fmt.Sprintf("POST /certs/long/%x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4000\r\n\r\n%s",
				n, host, id, budget.Milliseconds(), strings.Repeat("b", 4000))
			a := answer{}
			if _, a.err = io.WriteString(k.c, head); a.err == nil {
				a = k.readSlowly(http.MethodPost)
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{id, time.Since(start), a})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		restarted.signal(syscall.SIGTERM)
		wg.Add(1)
		go func() {
			defer wg.Done()
			select {
			case <-restarted.ended:
			case <-time.After(6 * time.Second): // grace
				restarted.signal(syscall.SIGKILL)
				<-restarted.ended
			}
			if err := restarted.start(); err != nil {
				rec.log("restart: %v", err)
			}
		}()
	}
	wg.Wait()
	ranAt := map[string]string{}
	for _, m := range f.machines {
		for _, r := range m.up.ran() {
			ranAt[r.ID] = r.Upstream + " at " + m.name
		}
	}
	lost, late := 0, 0
	for _, r := range results {
		rec.log("client at %s: %s after %.2f s: %s; run by %s", entry.name, r.id, r.took.Seconds(), r.answer, ranAt[r.id])
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
