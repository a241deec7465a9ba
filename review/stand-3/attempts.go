package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lookupsPerSecond is the rate of report-lookup of nguyenthanh-mesh, over all machines.
	lookupsPerSecond = 222
	// freezeTime, lossTime and lossRate are the largest doses of that site: a machine
	// freezes, and two of four upstreams lose the answers of a part of their requests.
	freezeTime = 3500 * time.Millisecond
	lossTime   = 4 * time.Second
	lossRate   = 0.4
	rounds     = 3
	roundTime  = 8 * time.Second
)

// attempts plays a service with four upstreams and a route with maxAttempts = 1. Two of
// the upstreams lose answers, and the machine of another freezes. It counts the requests
// that ran on more than one upstream.
func attempts(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	var services []string
	for _, s := range []string{"reports", "certs", "photos", "repairs"} {
		services = append(services, s, s, s, s)
	}
	if err := f.addMachines("284MB", 4100, services...); err != nil {
		return false, err
	}
	routes := []route{{"report-lookup", "hulo84.example", "/leny950/", "safe", "1000ms", "1500ms", 2, "reports", 1}}
	f.store.put("op/config", config(7, routes, map[string]int{"reports": 910, "certs": 910, "photos": 910, "repairs": 346}))
	var us []*upstream // Those of reports.
	for i, m := range f.machines {
		u, err := startUpstream(m, fmt.Sprintf("i-%d", i), 135, 160*time.Millisecond)
		if err != nil {
			return false, err
		}
		u.rec = rec
		if m.service == "reports" {
			us = append(us, u)
		}
		f.store.put("servers/"+u.id, u.entry("ready"))
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	// All machines but the one that freezes get their part of the requests.
	frozen, senders := f.machines[0], f.machines[1:]
	gap := time.Duration(len(senders)) * time.Second / lookupsPerSecond
	begun := time.Now()
	var wg sync.WaitGroup
	for i, m := range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(begun) < rounds*roundTime; n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				wg.Add(1)
				go func() {
					defer wg.Done()
					rec.line("sent     %s", id)
					a := send(m, "GET", "hulo84.example", "/leny950/"+id, id, 6*time.Second, "")
					rec.line("answered %s: %d stamp %q error %v after %d ms", id, a.status, a.stamp, a.err, a.took.Milliseconds())
				}()
				time.Sleep(time.Until(begun.Add(time.Duration(n+1) * gap)))
			}
		}()
	}
	for round := range rounds {
		time.Sleep(time.Until(begun.Add(time.Second + time.Duration(round)*roundTime)))
		if !trouble {
			continue
		}
		rec.line("trouble  upstreams %s and %s lose answers; the machine of %s freezes", us[1].id, us[2].id, us[0].id)
		us[1].lose(lossRate)
		us[2].lose(lossRate)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		time.Sleep(lossTime - freezeTime)
		us[1].lose(0)
		us[2].lose(0)
		rec.line("trouble  over")
	}
	wg.Wait()

	ranOn := make(map[string]map[string]bool)
	// The machine that froze may count as cut off, so its upstream is left out.
	for _, u := range us[1:] {
		for _, a := range u.ran() {
			if ranOn[a.id] == nil {
				ranOn[a.id] = make(map[string]bool)
			}
			ranOn[a.id][a.upstream] = true
		}
	}
	over := 0
	for id, on := range ranOn {
		if len(on) > routes[0].maxAttempts {
			over++
			rec.line("over     %s ran on %d upstreams: %v", id, len(on), on)
		}
	}
	rec.say("%d requests ran; %d of them ran on more upstreams than maxAttempts = %d; the rule allows 3", len(ranOn), over, routes[0].maxAttempts)
	return over > 3, nil
}
