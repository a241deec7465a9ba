package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// trickleCrowd is the number of clients at each node that send their bodies slowly. A node
// allows 2,460 connections.
const trickleCrowd = 400

// trickle plays ordinary callers at nodes at which a crowd sends short bodies very slowly,
// one byte each 100 ms.
func trickle(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if err := f.addMachines("184MB", 4100, "archiwum", "archiwum", "skany", "skany"); err != nil {
		return false, err
	}
	routes := []route{
		{"lookup", "hulo84.example", "/look/", "safe", "5000ms", "1500ms", 2, "archiwum", 2},
		{"upload", "hulo84.example", "/up/", "upload", "3000ms", "800ms", 1, "skany", 2},
	}
	f.store.put("op/config", config(7, routes, map[string]int{"archiwum": 550, "skany": 2296}))
	for i, m := range f.machines {
		u, err := startUpstream(m, fmt.Sprintf("i-%d", i), 75, 140*time.Millisecond)
		if err != nil {
			return false, err
		}
		u.rec = rec
		f.store.put("servers/"+u.id, u.entry("ready"))
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var stop atomic.Bool
	var crowd sync.WaitGroup
	for i := range trickleCrowd * len(f.machines) {
		if !trouble {
			break
		}
		crowd.Add(1)
		go func() {
			defer crowd.Done()
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("slow-%d-%d", i, n)
				rec.line("sent     %s, byte by byte", id)
				sendSlowly(f.machines[i%len(f.machines)], id, &stop)
				rec.line("ended    %s", id)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)

	// Ordinary callers: 20 lookups a second for 20 s, in turn over the nodes, each on a connection of its own, that
	// come back once after a refusal as the pages say.
	var mu sync.Mutex
	served, asked := 0, 0
	statuses := make(map[int]int)
	var ordinary sync.WaitGroup
	begun := time.Now()
	for n := 0; n < 400; n++ {
		ordinary.Add(1)
		go func() {
			defer ordinary.Done()
			var a answer
			for try := range 2 {
				id := fmt.Sprintf("o-%d-%d", n, try)
				rec.line("sent     %s", id)
				a = send(f.machines[n%len(f.machines)], "GET", "hulo84.example", "/look/"+id, id, 5*time.Second, "")
				rec.line("answered %s: %d error %v after %d ms: %s", id, a.status, a.err, a.took.Milliseconds(), strings.TrimSpace(a.body[:min(len(a.body), 60)]))
				if a.status == 200 {
					break
				}
				time.Sleep(time.Second) // Retry-After.
			}
			mu.Lock()
			defer mu.Unlock()
			asked++
			statuses[a.status]++
			if a.status == 200 && a.stamp != "" {
				served++
			}
		}()
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * 50 * time.Millisecond)))
	}
	ordinary.Wait()
	said := 0
	for _, m := range f.machines {
		if ready(m) {
			said++
		}
	}
	stop.Store(true)
	crowd.Wait()
	rec.say("ordinary callers: %d asked, %d served, last statuses %v; nodes that say that they are ready: %d of %d", asked, served, statuses, said, len(f.machines))
	return served == 0, nil
}

// sendSlowly sends a request of legal size whose body comes byte by byte.
func sendSlowly(m *machine, id string, stop *atomic.Bool) {
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 60000\r\nContent-Length: 1000\r\n\r\n", id, id); err != nil {
		return
	}
	for range 999 {
		if stop.Load() {
			return
		}
		if _, err := c.Write([]byte("b")); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
