package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	// todayWork is the time that the upstream takes for the request, todayBudget the
	// time budget of its clients and the route's timeout.
	todayWork   = 320 * time.Millisecond
	todayBudget = 600 * time.Millisecond
	// lookupWork is the time that a request on the first route takes.
	lookupWork = 50 * time.Millisecond
	// An upstream that has just started is coldFactor times slower for coldTime.
	coldFactor = 2
	coldTime   = 3 * time.Second
	// downTime is how long the crashed upstreams are down.
	downTime = 3 * time.Second
	// calmWait is the time from their return to the check.
	calmWait = 20 * time.Second
)

// today crashes the upstreams of a service at the same time while clients ask for the
// same page, and checks later whether that page is served.
func today(c *cluster, trouble bool) (broken bool, err error) {
	for i, s := range []string{"numerator", "numerator", "numerator", "numerator", "archiwum", "archiwum"} {
		a := &app{instance: fmt.Sprintf("i-%d", i), slots: 25, answer: 1500}
		a.work = func() time.Duration {
			switch {
			case s != "numerator":
				return lookupWork
			case a.age() < coldTime:
				return coldFactor * todayWork
			default:
				return todayWork
			}
		}
		if _, err := c.addNode(s, []string{"waw-a", "krk-a", "gda-a", "waw-b"}[i%4], memoryMB, a); err != nil {
			return false, err
		}
	}
	first := route{"lookup", "/lookup/", "safe", "archiwum", 5 * time.Second}
	added := route{"numbers", "/numbers/", "safe", "numerator", todayBudget}
	c.configure(7, []route{first}, []string{"archiwum", "numerator"})
	if err := c.startAll(); err != nil {
		return false, err
	}
	c.configure(9, []route{first, added}, []string{"archiwum", "numerator"})
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var checking bool
	served, sent := map[string]int{}, map[string]int{}
	statuses := map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		for i := range 10 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.IntN(150)) * time.Millisecond):
					}
					for _, kind := range []string{"numbers", "lookup"} {
						id := fmt.Sprintf("%s-%s-%d-%d", kind[:1], n.name, i, k)
						path := "/lookup/" + id
						if kind == "numbers" {
							path = "/numbers/today"
							if os.Getenv("DISTINCT") != "" {
								path = "/numbers/" + id
							}
						}
						o := ask(n, "GET", path, id, todayBudget, nil)
						c.log.add("%s GET %s %s: status %d, whole %t, ran %d", n.name, path, id, o.status, o.whole, c.ran(id))
						mu.Lock()
						if checking {
							sent[kind]++
							statuses[fmt.Sprintf("%s %d", kind, o.status)]++
							if o.status == 200 && o.whole {
								served[kind]++
							}
						}
						mu.Unlock()
					}
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, n := range c.nodes[:4] {
			n.app.crash()
		}
		c.log.add("the four servers of numerator have crashed")
		time.Sleep(downTime)
		for i, n := range c.nodes[:4] {
			if err := n.app.listen(n.appAddress()); err != nil {
				return false, err
			}
			n.c.store.put("servers/"+n.app.instance, n.entry("ready", 1))
			c.log.add("server %d is back", i)
		}
	}
	time.Sleep(calmWait)
	mu.Lock()
	checking = true
	mu.Unlock()
	time.Sleep(15 * time.Second)
	mu.Lock()
	checking = false
	mu.Unlock()
	close(stop)
	wg.Wait()
	c.log.say("in 15 s, from %.0f s after the return: served on the first route %d of %d, on the added route %d of %d; %v",
		calmWait.Seconds(), served["lookup"], sent["lookup"], served["numbers"], sent["numbers"], statuses)
	return sent["numbers"] >= 20 && 4*served["numbers"]*sent["lookup"] < served["lookup"]*sent["numbers"], nil
}
