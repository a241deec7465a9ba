package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["descriptors"] = descriptorsCase }

const (
	// nodeFiles is maxFds of the settings page.
	nodeFiles = 4100
	// usersPerSecond is the rate of new connections of one machine of zone waw-a on the
	// days scale-1 and scale-2 of kwit-mesh: 215 requests a second on 4 machines, of
	// which receipt-lookup and number-issue (6.3 of 9.12) come on new connections.
	// burstFactor is the burst of scale-2, for burstTime.
	usersPerSecond = 215.0 / 4 * 6.3 / 9.12
	burstFactor    = 1.7
	burstTime      = 20 * time.Second
	// fillTime bounds the time in which users come.
	fillTime = 109 * time.Second
	// contact is the bound of the same name.
	contact = 3 * time.Second
	// triers is the number of clients that try in vain until the rule is broken.
	triers = 7
)

// descriptorsCase lets users come at the rate of the sheet. Each opens a connection,
// sends one request, reads the answer and leaves the connection idle for the node to
// close after the idleTimeout of the configuration, 15 s. Without the disruption the
// users close their connections themselves.
func descriptorsCase(rec *recorder, trouble bool) (verdict, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*nodeFiles {
		return verdict{}, fmt.Errorf("the stand-ins need %d descriptors and have %d: %v", 2*nodeFiles, limit.Cur, err)
	}
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.files = nodeFiles
	quick := func(*http.Request) time.Duration { return 5 * time.Millisecond }
	for range 4 {
		if _, err := f.add("archiwum", 183, quick); err != nil {
			return verdict{}, err
		}
	}
	f.publish(7, []route{{"receipts", "/archiwum/", "safe", "archiwum", 5 * time.Second, 1200 * time.Millisecond, 2}}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	m := f.machines[0]
	ready, err := dialReady(m)
	if err != nil {
		return verdict{}, err
	}
	defer ready.close()

	var mu sync.Mutex
	var idle []*client
	defer func() {
		for _, k := range idle {
			k.close()
		}
	}()
	// failing holds when the clients came that got no answer on a new connection, since
	// the last one that got one.
	var failing []time.Time
	broken := ""
	user := func(n int) {
		id, started := newID(), time.Now()
		k, err := dial(m)
		a := answer{err: err}
		if err == nil {
			a = k.do(http.MethodGet, fmt.Sprintf("/archiwum/%x", n), id, 5*time.Second, nil)
		}
		mu.Lock()
		defer mu.Unlock()
		if a.err == nil {
			failing = nil
			if trouble {
				idle = append(idle, k)
				return
			}
			k.close()
			return
		}
		if k != nil {
			k.close()
		}
		failing = append(failing, started)
	}
	var wg sync.WaitGroup
	start := time.Now()
	lastReady := time.Now()
	readyNow, unready := true, 0
	checks := time.NewTicker(time.Second)
	defer checks.Stop()
	next := start // When the next user comes.
	for n := 0; time.Since(start) < fillTime && broken == ""; n++ {
		rate := usersPerSecond
		if next.Sub(start) < burstTime {
			rate *= burstFactor
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		wg.Add(1)
		go func() {
			defer wg.Done()
			user(n)
		}()
		time.Sleep(time.Until(next))
		select {
		case <-checks.C:
			readyNow = ready.check()
			if !readyNow {
				unready++
				rec.log("readiness of %s: miss", m.name)
			} else {
				lastReady = time.Now()
			}
		default:
		}
		mu.Lock()
		if len(failing) >= triers && time.Since(failing[0]) >= contact && readyNow && time.Since(lastReady) < 2*time.Second {
			broken = fmt.Sprintf("%d clients in a row got nothing on a new connection for %.1f s while the node said that it is ready", len(failing), time.Since(failing[0]).Seconds())
		}
		if n%500 == 0 {
			rec.log("%d users have come, %d idle connections, node has %d descriptors", n, len(idle), descriptors(m))
		}
		mu.Unlock()
	}
	wg.Wait()
	rec.log("%s has %d descriptors at the end", m.name, descriptors(m))
	if broken != "" {
		return verdict{true, broken}, nil
	}
	return verdict{false, fmt.Sprintf("new connections were taken all the while; %d readiness checks missed", unready)}, nil
}

// readiness is a kept connection of the platform to the ready address.
type readiness struct {
	*client
	at string
}

func dialReady(m *machine) (*readiness, error) {
	c, err := net.DialTimeout("tcp", m.at(portReady), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &readiness{&client{c: c, r: bufio.NewReader(c), m: m}, m.at(portReady)}, nil
}

// check asks once and reports whether the answer is 200.
func (r *readiness) check() bool {
	_ = r.c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(r.c, "GET /-/readiness HTTP/1.1\r\nHost: "+r.at+"\r\n\r\n"); err != nil {
		return false
	}
	return r.read(http.MethodGet).status == http.StatusOK
}
