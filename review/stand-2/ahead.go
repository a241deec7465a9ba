package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// scanBytes is the length of an answer, longer than what a node holds back until an
	// answer is complete.
	scanBytes = 400_000
	// truncatedShare is the share of the answers that the faulty upstream breaks off.
	truncatedShare = 0.02
	// The upstream is faulty for faultTime, and again after faultPause.
	faultTime  = 5 * time.Second
	faultPause = time.Second
	// aheadRequests is the number of requests that a client sends at once.
	aheadRequests = 6
)

// ahead has clients send safe requests ahead while one of three upstreams breaks off
// some of its answers.
func ahead(c *cluster, trouble bool) (broken bool, err error) {
	began := time.Now()
	for i, s := range []string{"scan-store", "scan-store", "scan-store", "label-svc"} {
		a := &app{instance: fmt.Sprintf("i-%d", i), slots: 75, work: func() time.Duration { return 100 * time.Millisecond }, answer: scanBytes}
		if i == 0 && trouble {
			a.truncates = func() bool {
				return time.Since(began)%(faultTime+faultPause) < faultTime && rand.Float64() < truncatedShare
			}
		}
		if _, err := c.addNode(s, []string{"waw-a", "krk-a"}[i%2], memoryMB, a); err != nil {
			return false, err
		}
	}
	c.configure(7, []route{{"scan", "/scan/", "safe", "scan-store", 5 * time.Second}}, []string{"scan-store", "label-svc"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	lost, answered := 0, 0
	var wg sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for _, n := range c.nodes {
		for i := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := 0; time.Now().Before(end); k++ {
					ok, gone := sendAhead(c, n, fmt.Sprintf("%s-%d-%d", n.name, i, k))
					mu.Lock()
					answered, lost = answered+ok, lost+gone
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	c.log.say("answered %d; passed on to a sound upstream and closed without an answer: %d", answered, lost)
	return lost > 3, nil
}

// sendAhead sends requests ahead on one kept connection, twice. It returns the number of
// whole answers and of requests that a sound upstream ran and that got none.
func sendAhead(c *cluster, n *node, name string) (answered, lost int) {
	conn, err := dialClient(n.outbound(), 0)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for round := range 2 {
		var ids []string
		var b strings.Builder
		for q := range aheadRequests {
			ids = append(ids, fmt.Sprintf("%s-%d-%d", name, round, q))
			b.WriteString(requestHead("GET", "/scan/"+ids[q], host, ids[q], 5*time.Second, 0))
		}
		sent := time.Now()
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return answered, lost
		}
		_ = conn.SetReadDeadline(sent.Add(8 * time.Second))
		for q, id := range ids {
			resp, err := http.ReadResponse(br, &http.Request{Method: "GET"})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil {
				answered++
				c.log.add("%s GET /scan/%s: status %d, whole, ran %d", n.name, id, resp.StatusCode, c.ran(id))
				continue
			}
			c.log.add("%s GET /scan/%s: no whole answer: %v, ran %d", n.name, id, err, c.ran(id))
			// The upstreams have time to begin with what was passed on.
			time.Sleep(300 * time.Millisecond)
			for _, later := range ids[q+1:] {
				sound := c.nodes[1].app.ran(later) + c.nodes[2].app.ran(later)
				c.log.add("%s GET /scan/%s: no answer, sent %.3f s before, run by sound upstreams %d times", n.name, later, time.Since(sent).Seconds(), sound)
				// The connection is a kept one if it has carried an answer before.
				if sound > 0 && answered > 0 && time.Since(sent) < 5*time.Second {
					lost++
				}
			}
			return answered, lost
		}
	}
	return answered, lost
}
