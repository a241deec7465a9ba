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

const (
	// memoryLimit is memoryMb of the settings page; a process that exceeds it is
	// killed.
	memoryLimit = 284 << 20
	// uploadBytes is the size of an upload. The configuration allows 64 MiB.
	uploadBytes = 12 << 20
	// uploadsPerSecond is the rate of scan-upload on the sheet of kwit-mesh.
	uploadsPerSecond = 32.6
	maxBodyBytes     = 67108864
	// uploadBudget is the time budget of scan-upload on the same sheet.
	uploadBudget = 1500 * time.Millisecond
	// keptPerMachine is the number of clients with a kept connection on a machine.
	keptPerMachine = 8
	uploadInterval = 30675 * time.Microsecond
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

// restartDelay is the time after which the platform starts a killed node again.
const restartDelay = time.Second

// enforceMemory does what the platform does: it kills a node whose resident memory
// exceeds the limit, and starts it again. It returns when stop is closed.
func (f *fleet) enforceMemory(stop <-chan struct{}, killed *atomic.Int64, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range f.machines {
			m.mu.Lock()
			pid, ended := m.cmd.Process.Pid, m.ended
			m.mu.Unlock()
			select {
			case <-ended:
				continue
			default:
			}
			n := residentBytes(pid)
			if n > peak.Load() {
				peak.Store(n)
			}
			if n > memoryLimit {
				f.rec.log("%s: node holds %d MiB, over its limit of %d MiB", m.name, n>>20, memoryLimit>>20)
				killed.Add(1)
				m.signal(syscall.SIGKILL)
				<-ended
				time.AfterFunc(restartDelay, func() { m.restartUnless(stop) })
			}
		}
	}
}

// restartUnless starts the node again unless stop is closed.
func (m *machine) restartUnless(stop <-chan struct{}) {
	select {
	case <-stop:
		return
	default:
	}
	if err := m.start(); err != nil {
		m.f.rec.log("%s: restart: %v", m.name, err)
	}
}

// memoryCase uploads bodies at the rate of the sheet while the upstreams of the
// upload service read slowly. Other clients send requests on kept connections; each
// that an upstream has run must be answered.
func memoryCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 120 * time.Millisecond }
	for _, s := range []string{"skany", "ksiegi", "ksiegi", "ksiegi", "ksiegi", "ksiegi", "ksiegi", "skany"} {
		m, err := f.add(s, 183, work)
		if err != nil {
			return verdict{}, err
		}
		if s == "skany" && trouble {
			m.up.readRate = 4 << 20
		}
	}
	f.publish(7, []route{
		{"scan-upload", "/skany/", "upload", "skany", uploadBudget, 400 * time.Millisecond, 1},
		{"book-close", "/ksiegi/", "unsafe", "ksiegi", 5 * time.Second, 1500 * time.Millisecond, 2},
	}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var killed, peak atomic.Int64
	go f.enforceMemory(stop, &killed, &peak)

	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := map[string]string{} // Requests on kept connections that ended without an answer.
	done := make(chan struct{})
	for _, m := range f.machines {
		for range keptPerMachine {
			wg.Add(1)
			go func() {
				defer wg.Done()
				keptClient(m, done, func(id string, a answer) {
					mu.Lock()
					defer mu.Unlock()
					cut[id] = fmt.Sprintf("client at %s: %s POST /ksiegi/close on a kept connection: %s", m.name, id, a)
				})
			}()
		}
	}
	time.Sleep(4 * time.Second)
	rec.log("uploads of %d bytes begin, %.1f a second; upstreams read slowly: %t", uploadBytes, uploadsPerSecond, trouble)
	body := make([]byte, uploadBytes)
	for i := range int(uploadsPerSecond * 10) {
		m := f.machines[i%len(f.machines)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			k, err := dial(m.at(portOutbound))
			if err != nil {
				rec.log("client at %s: upload %d: %v", m.name, i, err)
				return
			}
			defer k.close()
			// The connection is a kept one: it has carried a request before.
			if first := k.do(http.MethodPost, "/ksiegi/close", newID(), 5*time.Second, body[:4000]); first.err != nil {
				return
			}
			id, start := newID(), time.Now()
			a := k.do(http.MethodPost, fmt.Sprintf("/skany/%d", i), id, uploadBudget, body)
			rec.log("client at %s: %s POST /skany/%d on a kept connection, %.3f s: %s", m.name, id, i, time.Since(start).Seconds(), a)
			if a.err != nil && time.Since(start) < uploadBudget-100*time.Millisecond {
				mu.Lock()
				defer mu.Unlock()
				cut[id] = fmt.Sprintf("client at %s: %s POST /skany/%d on a kept connection: %s", m.name, id, i, a)
			}
		}()
		time.Sleep(uploadInterval)
	}
	time.Sleep(2 * time.Second)
	close(done)
	wg.Wait()
	close(stop)
	lost := 0
	for _, m := range f.machines {
		for _, id := range m.up.seen() {
			if line, ok := cut[id]; ok {
				rec.log("%s; it had been passed on to upstream %s", line, m.up.id)
				lost++
			}
		}
	}
	return verdict{lost > 3, fmt.Sprintf("nodes over their memory limit: %d times (peak %d MiB); %d requests from kept connections had been passed on to a sound upstream and their connection was closed without an answer",
		killed.Load(), peak.Load()>>20, lost)}, nil
}

// keptClient sends requests one after the other on one kept connection until done is
// closed. It reports those that ended without an answer and opens another connection
// after them.
func keptClient(m *machine, done <-chan struct{}, ended func(id string, a answer)) {
	var k *client
	body := make([]byte, 4000)
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if k == nil {
			var err error
			if k, err = dial(m.at(portOutbound)); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			n = 0
		}
		id := newID()
		a := k.do(http.MethodPost, "/ksiegi/close", id, 5*time.Second, body)
		if a.err != nil {
			if n > 0 {
				ended(id, a)
			}
			k.close()
			k = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}
