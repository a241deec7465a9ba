package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const host = "tills.example"

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// configure writes a configuration to the store.
func (c *cluster) configure(version int, routes []route, services []string) {
	rs := table{Columns: []string{"name", "host", "prefix", "kind", "timeout", "targetLatency", "priority", "service", "maxAttempts"}}
	for _, r := range routes {
		rs.Rows = append(rs.Rows, []any{r.name, host, r.prefix, r.kind, fmt.Sprintf("%dms", r.timeout.Milliseconds()), "1200ms", 1, r.service, 2})
	}
	ss := table{Columns: []string{"name", "healthPath", "maxConnections", "protocol", "tls"}}
	for _, s := range services {
		ss.Rows = append(ss.Rows, []any{s, "/health", 1198, "h1", false})
	}
	c.store.put("op/config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
}

// keeper does what the platform does to a process that exceeds the memory of its
// machine: it ends it and starts it again.
type keeper struct {
	n    *node
	peak atomic.Int64
	ends atomic.Int64
	stop chan struct{}
	done sync.WaitGroup
}

func keep(n *node) *keeper {
	k := &keeper{n: n, stop: make(chan struct{})}
	k.done.Add(1)
	go k.run()
	return k
}

func (k *keeper) run() {
	defer k.done.Done()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	limit := int64(k.n.memoryMB) << 20
	for {
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		}
		m := k.n.memory()
		k.peak.Store(max(k.peak.Load(), m))
		if m > limit {
			k.n.c.log.add("%s: %d MB resident, over the limit of %d MB: process ended as by the platform", k.n.name, m>>20, k.n.memoryMB)
			k.ends.Add(1)
			k.n.kill()
			time.Sleep(500 * time.Millisecond)
			_ = k.n.start()
		}
	}
}

func (k *keeper) close() {
	close(k.stop)
	k.done.Wait()
}
