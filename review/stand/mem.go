package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memoryCase }

// The traffic is that of the sheet of nguyenthanh-mesh on its 16 machines.
const (
	// memoryLimit is memoryMb of the settings page; a process that exceeds it is
	// killed.
	memoryLimit = 284 << 20
	// restartDelay is the time after which the platform starts a killed node again.
	restartDelay = time.Second
	maxBodyBytes = 67108864
	// uploadBytes is the size of an upload. The configuration allows maxBodyBytes.
	uploadBytes = 15 << 20
	// uploadInterval is the time between two photo-uploads, 28.2 a second.
	uploadInterval = time.Second * 10 / 282
	uploadBudget   = 2500 * time.Millisecond
	uploadTime     = 12 * time.Second
	// slowRead is how many bytes of a body a slow upstream reads a second.
	slowRead = 4 << 20
	// certInterval is the time between two cert-issues of one machine, 116 a second on
	// all of them.
	certInterval = time.Second * 16 / 116
	certBudget   = 6 * time.Second
)

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryGuard does what the platform does: it kills a node whose resident memory
// exceeds the limit, and starts it again.
type memoryGuard struct {
	f            *fleet
	stop         chan struct{}
	killed, peak atomic.Int64
}

// run guards the nodes until stop is closed.
func (g *memoryGuard) run() {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range g.f.machines {
			g.check(m)
		}
	}
}

func (g *memoryGuard) check(m *machine) {
	m.mu.Lock()
	pid, ended := m.cmd.Process.Pid, m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return
	default:
	}
	n := residentBytes(pid)
	g.peak.Store(max(n, g.peak.Load()))
	if n <= memoryLimit {
		return
	}
	g.f.rec.log("%s: node holds %d MiB, over its limit of %d MiB", m.name, n>>20, memoryLimit>>20)
	g.killed.Add(1)
	m.signal(syscall.SIGKILL)
	<-ended
	time.AfterFunc(restartDelay, func() { g.restart(m) })
}

func (g *memoryGuard) restart(m *machine) {
	select {
	case <-g.stop:
		return
	default:
	}
	if err := m.start(); err != nil {
		g.f.rec.log("%s: restart: %v", m.name, err)
	}
}

// cutRequests holds the requests on kept connections whose connection ended without an
// answer, by id.
type cutRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

// note notes a request unless it was answered or its time budget was nearly over.
func (c *cutRequests) note(id string, a answer, took, budget time.Duration) {
	if a.err == nil || took >= budget-100*time.Millisecond {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[id] = true
}

// memoryCase uploads bodies at the rate of the sheet while the upstreams of the upload
// service read slowly. All requests are sent on kept connections; those that were
// passed on to an upstream must be answered.
func memoryCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 200 * time.Millisecond }
	for _, s := range []string{"reports", "certs", "photos", "repairs"} {
		for range zones {
			m, err := f.add(s, 135, work)
			if err != nil {
				return verdict{}, err
			}
			if s == "photos" && trouble {
				m.up.readRate = slowRead
			}
		}
	}
	f.publish(7, []route{
		{"report-lookup", "/reports/", "safe", "reports", certBudget, 1500 * time.Millisecond, 2},
		{"photo-upload", "/photos/", "upload", "photos", uploadBudget, 600 * time.Millisecond, 1},
		{"cert-issue", "/certs/", "unsafe", "certs", certBudget, 2 * time.Second, 2},
	}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	g := &memoryGuard{f: f, stop: make(chan struct{})}
	go g.run()
	cut := &cutRequests{ids: make(map[string]bool)}
	var clients sync.WaitGroup
	done := make(chan struct{})
	for _, m := range f.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			m.issueCerts(done, cut)
		}()
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	rec.log("uploads begin; upstreams read slowly: %t", trouble)
	body := make([]byte, uploadBytes)
	for end, n := time.Now().Add(uploadTime), 0; time.Now().Before(end); n++ {
		m := f.machines[n%len(f.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			m.upload(body, cut)
		}()
		time.Sleep(uploadInterval)
	}
	time.Sleep(uploadBudget)
	close(done)
	clients.Wait()
	close(g.stop)
	lost := 0
	for _, m := range f.machines {
		for _, id := range m.up.seen() {
			if cut.ids[id] {
				rec.log("%s had been passed on to upstream %s and got no answer", id, m.up.id)
				lost++
			}
		}
	}
	return verdict{lost > 3, fmt.Sprintf("nodes over their memory limit: %d times (peak %d MiB); %d requests from kept connections had been passed on to a sound upstream and their connection was closed without an answer",
		g.killed.Load(), g.peak.Load()>>20, lost)}, nil
}

// issueCerts sends cert-issues from a machine at the rate of the sheet, each on a
// connection that has carried one before, until done is closed.
func (m *machine) issueCerts(done <-chan struct{}, cut *cutRequests) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	var idle []*client
	take := func() *client {
		mu.Lock()
		defer mu.Unlock()
		if len(idle) == 0 {
			return nil
		}
		k := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		return k
	}
	defer func() {
		for k := take(); k != nil; k = take() {
			k.close()
		}
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(certInterval):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := take()
			kept := k != nil
			if !kept {
				var err error
				if k, err = dial(m); err != nil {
					return
				}
			}
			id, start := newID(), time.Now()
			a := k.do(http.MethodPost, "/certs/"+id, id, certBudget, make([]byte, 1200))
			if a.err != nil {
				if kept {
					cut.note(id, a, time.Since(start), certBudget)
				}
				k.close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			idle = append(idle, k)
		}()
	}
}

// upload sends one photo-upload on a connection that has carried a request before.
func (m *machine) upload(body []byte, cut *cutRequests) {
	k, err := dial(m)
	if err != nil {
		return
	}
	defer k.close()
	// A report-lookup before it makes the connection a kept one.
	first := newID()
	if a := k.do(http.MethodGet, "/reports/"+first, first, certBudget, nil); a.err != nil {
		return
	}
	id, start := newID(), time.Now()
	a := k.do(http.MethodPost, "/photos/"+id, id, uploadBudget, body)
	cut.note(id, a, time.Since(start), uploadBudget)
}
