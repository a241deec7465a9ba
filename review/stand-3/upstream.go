package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request that an upstream ran.
type arrival struct {
	id, method, host, target, upstream, caller string
	budget                                     int64 // X-Deadline-Ms, or -1.
	at                                         time.Time
}

// upstream is a stand-in for an application server. It runs slots requests side by side and
// queues a few more.
type upstream struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	answerBytes                int
	// rec may be nil.
	rec *record

	mu       sync.Mutex
	running  int
	free     chan struct{}
	loseRate float64
	seq      int64
	born     int64
	runs     []arrival
	aborted  int
}

// entry returns the entry of the upstream in the store.
func (u *upstream) entry(state string) map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "seq": u.seq, "warmupLeft": "0ms"},
	}
}

// startUpstream starts an upstream beside the node of a machine.
func startUpstream(m *machine, id string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{
		id: id, service: m.service, zone: m.zone, address: m.app, slots: slots, work: work, answerBytes: 200,
		free: make(chan struct{}, slots), born: time.Now().UnixMilli(),
	}
	ln, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, u) }()
	return u, nil
}

// lose sets the share of the requests that run and whose answers are lost.
func (u *upstream) lose(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseRate = share
}

func (u *upstream) loses() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loseRate > 0 && rand.Float64() < u.loseRate
}

// ran returns the requests that the upstream has run.
func (u *upstream) ran() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.runs...)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	budget, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		budget = -1
	}
	wait := time.Duration(budget) * time.Millisecond
	if budget < 0 {
		wait = time.Minute
	}
	timeout := time.After(wait)
	u.mu.Lock()
	u.running++
	full := u.running > 2*u.slots
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if full {
		u.refuse(w)
		return
	}
	select {
	case u.free <- struct{}{}:
	case <-timeout:
		u.refuse(w)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.free }()
	a := arrival{id: id, method: r.Method, host: r.Host, target: r.RequestURI, upstream: u.id, caller: r.Header.Get("X-Caller-Service"), budget: budget, at: time.Now()}
	u.mu.Lock()
	u.runs = append(u.runs, a)
	u.mu.Unlock()
	if u.rec != nil {
		u.rec.line("run      %s at %s", id, u.id)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(u.work):
	case <-timeout:
		w.Header().Set("X-Response-Stamp", "s."+u.id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		u.mu.Lock()
		u.aborted++
		u.mu.Unlock()
		return
	}
	if u.loses() {
		resetConnection(w)
		return
	}
	w.Header().Set("X-Response-Stamp", "s."+u.id)
	w.Header().Set("Content-Length", strconv.Itoa(u.answerBytes))
	_, _ = io.WriteString(w, strings.Repeat("a", u.answerBytes))
}

func (u *upstream) refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resetConnection resets the connection of a request in place of an answer.
func resetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind, timeout, aim string
	priority                               int
	service                                string
	maxAttempts                            int
}

// config returns a configuration as the operator writes it.
func config(version int, routes []route, connections map[string]int) map[string]any {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.aim, r.priority, r.service, r.maxAttempts, nil})
	}
	services := [][]any{}
	for name, n := range connections {
		services = append(services, []any{name, "/health", n, "h1", false})
	}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout", "targetLatency", "priority", "service", "maxAttempts", "weightedServices"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// ready asks a node whether it is ready, as the platform does.
func ready(m *machine) bool {
	c, err := net.DialTimeout("tcp", m.ready, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /-/readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", m.ready)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	status int // 0 for none.
	stamp  string
	body   string
	err    error
	took   time.Duration
}

// send sends one request on a connection of its own and reads the answer.
func send(m *machine, method, host, target, id string, budget time.Duration, body string) answer {
	return sendWith(m, method, host, target, id, budget, body, "")
}

// sendWith sends one request with further header fields.
func sendWith(m *machine, method, host, target, id string, budget time.Duration, body, fields string) answer {
	begun := time.Now()
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(begun.Add(budget + time.Second))
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n%s", method, target, host, id, budget.Milliseconds(), length, fields, body)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp"), body: string(b), err: err, took: time.Since(begun)}
}
