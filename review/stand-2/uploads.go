package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of a body, the largest that the site plays.
	uploadBytes = 360_000
	// uploadBudget is the time that a client has for an upload.
	uploadBudget = 8 * time.Second
	// crowd is the number of clients beside each machine that upload at the same time.
	crowd = 220
	// crowdTime is how long the crowd sends.
	crowdTime = 80 * time.Second
	// calmTime is how long the ordinary clients send without the crowd.
	calmTime = 30 * time.Second
)

// uploads sends many bodies of legal size at once to a service with too little room for
// them. It reports whether processes exceeded the memory of their machines three times on
// at least two machines.
func uploads(c *cluster, trouble bool) (broken bool, err error) {
	services := []string{"skany", "skany", "archiwum", "archiwum", "archiwum", "archiwum", "archiwum", "archiwum"}
	zones := []string{"waw-a", "krk-a"}
	works := map[string]time.Duration{"skany": time.Second, "archiwum": 460 * time.Millisecond}
	for i, s := range services {
		a := &app{instance: fmt.Sprintf("i-%d", i), slots: 183, work: func() time.Duration { return works[s] }, answer: 6000}
		if _, err := c.addNode(s, zones[i%2], smallMemoryMB, a); err != nil {
			return false, err
		}
	}
	c.configure(7, []route{
		{"upload", "/upload/", "upload", "skany", uploadBudget}, {"lookup", "/lookup/", "safe", "archiwum", 5 * time.Second},
	}, []string{"archiwum", "skany"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	var keepers []*keeper
	for _, n := range c.nodes {
		keepers = append(keepers, keep(n))
	}
	var crowds, ordinary tally
	var wg sync.WaitGroup
	length := crowdTime
	if !trouble {
		length = calmTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	go func() {
		for ctx.Err() == nil && !tooManyEnds(keepers) {
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
	}()
	for _, n := range c.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ordinaryClients(ctx, n, &ordinary)
		}()
		if !trouble {
			continue
		}
		for i := range crowd {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := 0; ctx.Err() == nil; k++ {
					crowds.upload(n, fmt.Sprintf("%s-c%d-%d", n.name, i, k))
					time.Sleep(time.Second)
				}
			}()
		}
	}
	wg.Wait()
	for i, k := range keepers {
		k.close()
		c.log.say("%s: at most %d MB resident of %d MB, ended %d times for its memory", c.nodes[i].name, k.peak.Load()>>20, smallMemoryMB, k.ends.Load())
	}
	c.log.say("crowd: %v", crowds.counts)
	c.log.say("ordinary clients: %v", ordinary.counts)
	c.log.say("uploads that ran and whose clients got no answer: %d", crowds.lost+ordinary.lost)
	return tooManyEnds(keepers), nil
}

// tooManyEnds reports whether processes have ended three times on a tenth of the
// machines, two at least.
func tooManyEnds(keepers []*keeper) bool {
	machines := 0
	for _, k := range keepers {
		if k.ends.Load() >= 3 {
			machines++
		}
	}
	return machines >= 2 && 10*machines >= len(keepers)
}

// ordinaryClients sends 20 look-ups and 4 uploads a second.
func ordinaryClients(ctx context.Context, n *node, t *tally) {
	var wg sync.WaitGroup
	for k := 0; ctx.Err() == nil; k++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%s-o%d", n.name, k)
			if k%6 == 0 {
				t.upload(n, id)
				return
			}
			o := ask(n, "GET", "/lookup/"+id, id, 5*time.Second, nil)
			t.add(o)
			n.c.log.add("%s GET /lookup/%s: status %d, whole %t, error %v, ran %d", n.name, id, o.status, o.whole, o.err, n.c.ran(id))
		}()
		time.Sleep(time.Second / 24)
	}
	wg.Wait()
}

// upload sends a body of legal size on a connection of its own.
func upload(n *node, id string) outcome {
	conn, err := dialClient(n.outbound(), 0)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(uploadBudget))
	if _, err := io.WriteString(conn, requestHead("POST", "/upload/"+id, host, id, uploadBudget, uploadBytes)); err != nil {
		return outcome{err: err}
	}
	// A refusal may come before the body has been read.
	_, _ = conn.Write(filler[:uploadBytes])
	return readOutcome(conn, "POST", id, pace{}, uploadBudget+2*time.Second)
}

// upload sends an upload and records it.
func (t *tally) upload(n *node, id string) {
	o := upload(n, id)
	t.add(o)
	ran := n.c.ran(id)
	n.c.log.add("%s POST /upload/%s: status %d, whole %t, error %v, ran %d", n.name, id, o.status, o.whole, o.err, ran)
	if o.status == 0 && ran > 0 {
		t.mu.Lock()
		t.lost++
		t.mu.Unlock()
	}
}
