package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	grace = 6 * time.Second
	// closeWork is the time that the upstream takes for a request.
	closeWork = 400 * time.Millisecond
	// closeBudget is the time budget of the clients, and the route's timeout.
	closeBudget = 5 * time.Second
)

// roll stops the two machines of a zone in turn while their clients send requests whose
// ids hold a dot.
func roll(c *cluster, trouble bool) (broken bool, err error) {
	for i, s := range []string{"archiwum", "archiwum", "ksiegi", "ksiegi"} {
		zone := []string{"waw-a", "krk-a", "gda-a", "waw-b"}[i]
		a := &app{instance: fmt.Sprintf("i-%d", i), slots: 183, work: func() time.Duration { return closeWork }, answer: 1500}
		if _, err := c.addNode(s, zone, memoryMB, a); err != nil {
			return false, err
		}
	}
	c.configure(7, []route{
		{"close", "/close/", "unsafe", "ksiegi", closeBudget}, {"lookup", "/lookup/", "safe", "archiwum", 5 * time.Second},
	}, []string{"archiwum", "ksiegi"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	separator := "."
	if s := os.Getenv("SEPARATOR"); s != "" {
		separator = s
	}
	stopped := c.nodes[0]
	checks := &readiness{n: stopped}
	stop := make(chan struct{})
	go checks.run(stop)
	defer close(stop)

	const clients, length = 12, 20 * time.Second
	end := time.Now().Add(length)
	var mu sync.Mutex
	var sent []*sentRequest
	var wg sync.WaitGroup
	for j := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(end); k++ {
				if !checks.takesWork() {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				q := &sentRequest{id: fmt.Sprintf("till%d%s%05d", j, separator, k)}
				q.send(stopped)
				if q.dialed {
					mu.Lock()
					sent = append(sent, q)
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	var term time.Time
	if trouble {
		time.Sleep(3 * time.Second)
		term = time.Now()
		stopped.restart()
	}
	wg.Wait()
	return judgeRoll(c, sent, term), nil
}

// sentRequest is a request of a client and what became of it.
type sentRequest struct {
	id          string
	dialed      bool
	sent, ended time.Time
	outcome     outcome
}

func (q *sentRequest) send(n *node) {
	conn, err := dialClient(n.outbound(), 0)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	q.dialed = true
	body := filler[:4000]
	if _, err := conn.Write(append([]byte(requestHead("POST", "/close/"+q.id, host, q.id, closeBudget, len(body))), body...)); err != nil {
		q.outcome.err = err
	}
	q.sent = time.Now()
	if q.outcome.err == nil {
		q.outcome = readOutcome(conn, "POST", q.id, pace{}, closeBudget+2*time.Second)
	}
	q.ended = time.Now()
}

// judgeRoll checks the rule LOST around a SIGTERM as it is written.
func judgeRoll(c *cluster, sent []*sentRequest, term time.Time) bool {
	lost, counts := 0, tally{}
	for _, q := range sent {
		counts.add(q.outcome)
		ran := c.ran(q.id)
		since := q.sent.Sub(term)
		c.log.add("POST /close/%s sent %.3f s after the SIGTERM, ended %.3f s later: status %d, whole %t, error %v, ran %d",
			q.id, since.Seconds(), q.ended.Sub(q.sent).Seconds(), q.outcome.status, q.outcome.whole, q.outcome.err, ran)
		switch {
		case term.IsZero() || since < 0 || since > grace+time.Second:
		case ran == 0 || q.outcome.status != 0 && q.outcome.err == nil: // Not passed on, or answered.
		case q.ended.Sub(q.sent) >= closeBudget: // The time budget was reached.
		case since <= 3*time.Second: // The upstream may have been at work in the last sixth of the grace period.
		default:
			lost++
			c.log.add("LOST: %s", q.id)
		}
	}
	c.log.say("answers: %v; lost around the SIGTERM: %d", counts.counts, lost)
	return lost > 0
}

// readiness asks the node of a zone with one machine once a second whether it is ready.
type readiness struct {
	n      *node
	misses atomic.Int64
}

func (r *readiness) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		resp, err := client.Get("http://" + r.n.ready() + "/-/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			r.misses.Store(0)
		} else {
			r.misses.Add(1)
		}
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// takesWork reports whether the clients get new work: not after two misses, unless
// fewer than half of the nodes of the zone, which has one, are in.
func (r *readiness) takesWork() bool {
	const nodes = 1
	in := 0
	if r.misses.Load() < 2 {
		in = 1
	}
	return in == 1 || 2*in < nodes
}

// restart stops a node as the platform does, and starts it again.
func (n *node) restart() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.c.log.add("%s: SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		n.c.log.add("%s: the process has ended", n.name)
	case <-time.After(grace):
		n.c.log.add("%s: SIGKILL", n.name)
		n.kill()
	}
	time.Sleep(300 * time.Millisecond)
	if err := n.start(); err != nil {
		n.c.log.add("%s: not started again: %v", n.name, err)
	}
}
