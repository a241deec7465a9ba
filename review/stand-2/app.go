package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// app is a stand-in for an application server: it works on up to slots requests at
// once, queues a few more and rejects the others.
type app struct {
	instance string
	slots    int
	// work is how long a request takes, answer the length of the answer.
	work   func() time.Duration
	answer int
	// truncates, if set, reports whether the next answer is broken off.
	truncates func() bool

	node  *node
	log   *record
	inUse atomic.Int64
	runs  atomic.Int64

	mu   sync.Mutex
	seen map[string]int
	// server is the running server; nil while the process is down.
	server *http.Server
	born   time.Time
}

var filler = make([]byte, 4<<20)

func init() {
	for i := range filler {
		filler[i] = byte('a' + i%23)
	}
}

func (a *app) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: a, IdleTimeout: 10 * time.Second}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = make(map[string]int)
	}
	a.server, a.born = s, time.Now()
	go func() { _ = s.Serve(ln) }()
	return nil
}

// crash ends the process: its listener and all connections are closed at once.
func (a *app) crash() {
	a.mu.Lock()
	s := a.server
	a.server = nil
	a.mu.Unlock()
	_ = s.Close()
}

func (a *app) started() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.born
}

// age returns how long ago the process was started.
func (a *app) age() time.Duration { return time.Since(a.started()) }

// ServeHTTP implements http.Handler.
func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", a.instance)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != a.instance {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", a.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.inUse.Add(1) > int64(a.slots) {
		a.inUse.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.inUse.Add(-1)
	a.runs.Add(1)
	a.mu.Lock()
	a.seen[id]++
	a.mu.Unlock()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		a.log.add("%s: %s broke off after %d bytes of the body", a.instance, id, n)
		return
	}
	select {
	case <-time.After(a.work()):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Stamp", "stamp."+a.instance+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(a.answer))
	if a.truncates != nil && a.truncates() {
		a.log.add("%s: breaks off its answer to %s", a.instance, id)
		_, _ = w.Write(filler[:a.answer*9/10])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(filler[:a.answer])
}

// ran returns how often a request ran.
func (a *app) ran(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[id]
}
