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
	// read, if set, reads the body of a request in place of the default, at once.
	read func(r *http.Request) (int64, error)

	node  *node
	log   *record
	inUse atomic.Int64
	runs  atomic.Int64

	mu   sync.Mutex
	seen map[string]int
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
	a.seen = make(map[string]int)
	s := &http.Server{Handler: a, IdleTimeout: 10 * time.Second}
	go func() { _ = s.Serve(ln) }()
	return nil
}

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
	read := func(r *http.Request) (int64, error) { return io.Copy(io.Discard, r.Body) }
	if a.read != nil {
		read = a.read
	}
	n, err := read(r)
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
	_, _ = w.Write(filler[:a.answer])
}

// ran returns how often a request ran.
func (a *app) ran(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[id]
}
