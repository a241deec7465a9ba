package main

import (
	"fmt"
	"net"
	"time"
)

// foreignEntry: another writer registers a host agent in the store for some of the
// machines: a service that isn't named in the configuration, at the machine's address.
func foreignEntry(c *cluster, trouble bool) (broken bool, err error) {
	services := []string{"archiwum", "archiwum", "ksiegi", "ksiegi"}
	for i, s := range services {
		a := &app{instance: fmt.Sprintf("i-%d", i), slots: 183, work: func() time.Duration { return 90 * time.Millisecond }, answer: 5000}
		if _, err := c.addNode(s, []string{"waw-a", "krk-a"}[i%2], memoryMB, a); err != nil {
			return false, err
		}
	}
	first := route{"lookup", "/lookup/", "safe", "archiwum", 5 * time.Second}
	added := route{"state", "/state/", "safe", "ksiegi", 2500 * time.Millisecond}
	c.configure(7, []route{first}, []string{"archiwum", "ksiegi"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	c.configure(9, []route{first, added}, []string{"archiwum", "ksiegi"})
	if trouble {
		for i, n := range c.nodes {
			if n.service != "ksiegi" {
				continue
			}
			host, _, _ := net.SplitHostPort(n.appAddress())
			e := map[string]any{
				"address": host + ":9100", "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "host-agent", "version": "v1", "zone": n.zone, "slots": 1},
				"status": map[string]any{"state": "ready", "seq": 1, "warmupLeft": "0ms"},
			}
			c.store.put(fmt.Sprintf("servers/agent-%d", i), e)
			c.log.add("store: another writer wrote servers/agent-%d: %v", i, e)
		}
	}
	time.Sleep(6 * time.Second)
	served := map[string]int{}
	const each = 100
	for k := range each {
		for _, n := range c.nodes {
			for _, path := range []string{"/lookup/", "/state/"} {
				id := fmt.Sprintf("%s-%d-%d", path[1:3], k, n.ip[len(n.ip)-1])
				o := ask(n, "GET", path+id, id, 2500*time.Millisecond, nil)
				c.log.add("%s GET %s: status %d, whole %t, ran %d", n.name, path+id, o.status, o.whole, c.ran(id))
				if o.whole && o.status == 200 {
					served[path]++
				}
			}
		}
	}
	total := each * len(c.nodes)
	c.log.say("served on the first route %d of %d, on the added route %d of %d", served["/lookup/"], total, served["/state/"], total)
	return served["/state/"]*4 < served["/lookup/"], nil
}
