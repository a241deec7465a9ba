package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"crocustack/core/releaser"

	"crocustack/crocusfake/internal/publisher"
)

const (
	domain      = "waw-a"
	otherDomain = "waw-b"
	// window is the duration of a processor time measurement. The processor time
	// in /proc has a resolution of 10 ms: 500 requests per second of 1 ms each
	// use 100 ticks in the window.
	window = 2 * time.Second
	// settleTime is the time that the heap gets to reach a stable size after a
	// change of load.
	settleTime = time.Second
	// platformReadTime is longer than two intervals at which a node reads the
	// platform.
	platformReadTime = 2500 * time.Millisecond
)

var (
	rates      = []float64{250, 1000, 2000}
	linkCounts = []int{64, 256, 512, 1024}
	// inFlightCounts stay below a tenth of the slots, which is what a node
	// admits after its start.
	inFlightCounts = []int{100, 200, 400, 800}
	recordCounts   = []int{2000, 8000, 16000, 32000}
	instanceCounts = []int{300, 1000, 2000, 3000}
	itemCounts     = []int{340, 680, 1360, 2040}
	nodeCounts     = []int{8, 16, 32, 64}
)

// requests measures the processor time and bytes per request, by role of the
// node.
func (m *meter) requests(ctx context.Context, logDecisions bool) ([]Row, error) {
	r, err := newTestbed(logDecisions, domain)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return nil, err
	}
	gates, err := r.start(ctx, backService, 1, domain)
	if err != nil {
		return nil, err
	}
	entries, err := r.start(ctx, frontService, 1, domain)
	if err != nil {
		return nil, err
	}
	entry, gate := entries[0], gates[0]
	if err := sleep(ctx, platformReadTime); err != nil {
		return nil, err
	}
	// Warm-up: the first requests open links and connections and fill pools.
	if _, _, err := r.offer(ctx, entry, backService, http.StatusOK, 500, time.Second); err != nil {
		return nil, err
	}
	var refusedCPU, forwardedCPU, gateCPU, linkTraffic, logVolume [][]point
	rng := rand.New(rand.NewPCG(m.seed, 1))
	for range m.runs {
		var refusedRun, forwardedRun, gateRun, linkRun, logRun []point
		for _, i := range rng.Perm(len(rates)) {
			p, err := m.measureLoad(ctx, r, entry, gate, mismatchService, http.StatusNotFound, rates[i])
			if err != nil {
				return nil, err
			}
			refusedRun = append(refusedRun, point{p.rate, p.entry})
			if p, err = m.measureLoad(ctx, r, entry, gate, backService, http.StatusOK, rates[i]); err != nil {
				return nil, err
			}
			forwardedRun = append(forwardedRun, point{p.rate, p.entry})
			gateRun = append(gateRun, point{p.rate, p.gate})
			linkRun = append(linkRun, point{p.requests, p.traffic})
			logRun = append(logRun, point{p.requests, p.logVolume})
		}
		refusedCPU, forwardedCPU, gateCPU = append(refusedCPU, refusedRun), append(forwardedCPU, forwardedRun), append(gateCPU, gateRun)
		linkTraffic, logVolume = append(linkTraffic, linkRun), append(logVolume, logRun)
	}
	log := ", decision log off"
	if logDecisions {
		log = ", decision log on"
	}
	cpu := func(name string) quantity { return quantity{name + log, "µs CPU", "request", 1e6, 1} }
	rows := []Row{
		cpu("entry, refused there").row(refusedCPU),
		cpu("entry + router, forwarded").row(forwardedCPU),
		cpu("gate").row(gateCPU),
	}
	if logDecisions {
		rows = append(rows,
			quantity{"link, both directions", "bytes", "request", 1, 1}.row(linkTraffic),
			quantity{"decision log of entry node and gate", "bytes", "request", 1, 1}.row(logVolume))
	}
	return rows, nil
}

// load holds the rate and number of requests, the processor time of the entry node
// and of the gate, and the bytes on links and in logs.
type load struct {
	rate, requests, entry, gate, traffic, logVolume float64
}

// measureLoad offers requests at a rate and returns the processor time of both
// nodes in cores, the bytes on the links of the entry node and the bytes logged.
func (m *meter) measureLoad(ctx context.Context, r *testbed, entry, gate *node, service string, status int, rate float64) (l load, err error) {
	var before, after [4]float64
	read := func(to *[4]float64) {
		for i, f := range []func() (float64, error){
			entry.cpu, gate.cpu, func() (float64, error) { return r.linkBytes(ctx, entry) }, r.logBytes,
		} {
			if err == nil {
				to[i], err = f()
			}
		}
	}
	read(&before)
	if err != nil {
		return l, err
	}
	n, seconds, err := r.offer(ctx, entry, service, status, rate, window)
	if err != nil {
		return l, err
	}
	read(&after)
	return load{
		rate: n / seconds, requests: n, traffic: after[2] - before[2], logVolume: after[3] - before[3],
		entry: (after[0] - before[0]) / seconds, gate: (after[1] - before[1]) / seconds,
	}, err
}

// rssSteps measures the memory of nodes after each step to a larger size. Sizes
// only grow and each run has its own node, since a process does not return all
// memory when the size shrinks.
func rssSteps(ctx context.Context, nodes []*node, sizes []int, wait time.Duration, grow func(size int) (float64, error)) ([][]point, error) {
	runs := make([][]point, len(nodes))
	for _, size := range sizes {
		x, err := grow(size)
		if err != nil {
			return nil, err
		}
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
		for i, n := range nodes {
			y, err := n.rss()
			if err != nil {
				return nil, err
			}
			runs[i] = append(runs[i], point{x, y})
		}
	}
	return runs, nil
}

func rssQuantity(name, per string, perSize float64) quantity {
	return quantity{name, "KB RSS", per, 1e-3, perSize}
}

// links measures the memory and processor time per open link without requests.
func (m *meter) links(ctx context.Context) ([]Row, error) {
	return m.withNodes(ctx, backService, func(r *testbed, nodes []*node) ([]Row, error) {
		var peers []*peer
		defer func() {
			for _, p := range peers {
				p.manager.Close()
			}
		}()
		cpuShares := make([][]point, len(nodes))
		runs, err := rssSteps(ctx, nodes, linkCounts, settleTime, func(size int) (float64, error) {
			for len(peers) < size {
				p := newPeer(fmt.Sprintf("127.0.2.%d:%d", len(peers)/200+1, 1000+len(peers)), domain, uint64(len(peers)+1))
				peers = append(peers, p)
				for _, n := range nodes {
					if _, err := p.manager.Get(ctx, n.link); err != nil {
						return 0, err
					}
				}
			}
			for i, n := range nodes {
				share, err := cpuShare(ctx, n)
				if err != nil {
					return 0, err
				}
				cpuShares[i] = append(cpuShares[i], point{float64(size), share})
			}
			return float64(size), nil
		})
		return []Row{
			rssQuantity("open link, idle", "link", 1).row(runs),
			quantity{"open link, idle", "% of a core", "100 links", 100, 100}.row(cpuShares),
		}, err
	})
}

// cpuShare measures the processor time of a node in cores for one window.
func cpuShare(ctx context.Context, n *node) (float64, error) {
	before, err := n.cpu()
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if err := sleep(ctx, window); err != nil {
		return 0, err
	}
	after, err := n.cpu()
	return (after - before) / time.Since(begin).Seconds(), err
}

// records measures the memory per attempt record that the gate keeps.
func (m *meter) records(ctx context.Context) ([]Row, error) {
	return m.withNodes(ctx, backService, func(r *testbed, nodes []*node) ([]Row, error) {
		p := newPeer("127.0.2.1:1000", domain, 1)
		defer p.manager.Close()
		done := 0
		runs, err := rssSteps(ctx, nodes, recordCounts, settleTime, func(size int) (float64, error) {
			for _, n := range nodes {
				if err := p.sendRuns(ctx, n, done, size); err != nil {
					return 0, err
				}
			}
			done = size
			return float64(size), nil
		})
		return []Row{rssQuantity(fmt.Sprintf("gate records with answers of %d bytes", bodyBytes), "1,000 records", 1000).row(runs)}, err
	})
}

// requestsInFlight measures the memory per request that waits for the backend
// server, at the entry node and at the gate.
func (m *meter) requestsInFlight(ctx context.Context) ([]Row, error) {
	var atEntry, atGate [][]point
	for range m.runs {
		_, err := m.withNodes(ctx, "", func(r *testbed, _ []*node) ([]Row, error) {
			gates, err := r.start(ctx, backService, 1, domain)
			if err != nil {
				return nil, err
			}
			entries, err := r.start(ctx, frontService, 1, domain)
			if err != nil {
				return nil, err
			}
			if err := sleep(ctx, platformReadTime); err != nil {
				return nil, err
			}
			defer close(r.release)
			runs, err := rssSteps(ctx, []*node{entries[0], gates[0]}, inFlightCounts, settleTime/2, func(size int) (float64, error) {
				return float64(size), r.hold(ctx, entries[0], backService, size)
			})
			if err != nil {
				return nil, err
			}
			atEntry, atGate = append(atEntry, runs[0]), append(atGate, runs[1])
			return nil, nil
		})
		if err != nil {
			return nil, err
		}
	}
	return []Row{
		rssQuantity("request in flight at the entry node", "request", 1).row(atEntry),
		rssQuantity("request in flight at the gate", "request", 1).row(atGate),
	}, nil
}

// instances measures the memory per known instance of the node's own service. The
// added instances have no process behind them. They are listed in another domain,
// because readers of the platform are chosen among the live instances of a domain.
func (m *meter) instances(ctx context.Context) ([]Row, error) {
	return m.withNodes(ctx, backService, func(r *testbed, nodes []*node) ([]Row, error) {
		runs, err := rssSteps(ctx, nodes, instanceCounts, platformReadTime, func(size int) (float64, error) {
			var list []publisher.Instance
			for i := range size - len(nodes) {
				list = append(list, publisher.Instance{
					Service: backService, Address: fmt.Sprintf("127.0.%d.%d:9", 3+i/250, 1+i%250), Domain: otherDomain, Region: region, State: "Live",
				})
			}
			return float64(size), r.publisher.SetInstances(list...)
		})
		return []Row{rssQuantity("known instances", "1,000 instances", 1000).row(runs)}, err
	})
}

// items measures the memory per release item, and the length of the catalogue in
// the document that a reader fetches for each note.
func (m *meter) items(ctx context.Context) ([]Row, error) {
	return m.withNodes(ctx, backService, func(r *testbed, nodes []*node) ([]Row, error) {
		var document []point
		runs, err := rssSteps(ctx, nodes, itemCounts, platformReadTime, func(size int) (float64, error) {
			var s releaser.Section
			for i := r.items(); i < size; i++ {
				s.Services = append(s.Services, releaser.Service{
					Name: fmt.Sprintf("service-%d", i), Slots: 160, Connections: 1000, RetryRatio: 0.1, QueueTime: 50 * time.Millisecond, QueueLength: 100,
				})
			}
			if err := r.publish(s); err != nil {
				return 0, err
			}
			document = append(document, point{float64(r.items()), r.documentBytes()})
			return float64(r.items()), nil
		})
		return []Row{
			rssQuantity("release items", "1,000 items", 1000).row(runs),
			quantity{"release/current without a note", "KB", "1,000 items", 1e-3, 1000}.row([][]point{document}),
		}, err
	})
}

// withNodes creates a testbed and calls measure with one node of the service for
// each run, or with none if service is empty.
func (m *meter) withNodes(ctx context.Context, service string, measure func(*testbed, []*node) ([]Row, error)) ([]Row, error) {
	r, err := newTestbed(true, domain, otherDomain)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return nil, err
	}
	var nodes []*node
	if service != "" {
		if nodes, err = r.start(ctx, service, m.runs, domain); err != nil {
			return nil, err
		}
	}
	return measure(r, nodes)
}

// idle measures the resource use of nodes without requests as a function of the
// number of nodes.
func (m *meter) idle(ctx context.Context) ([]Row, error) {
	series := make([][][]point, 4)
	for i := range series {
		series[i] = make([][]point, m.runs)
	}
	for _, size := range nodeCounts {
		if err := m.idleFleet(ctx, size, series); err != nil {
			return nil, err
		}
	}
	per := "idle node more in the fleet"
	return []Row{
		quantity{"idle: processor share of a node", "% of a core", per, 100, 1}.row(series[0]),
		quantity{"idle: bytes on links of a node", "bytes/s", per, 1, 1}.row(series[1]),
		quantity{"idle: bytes of platform answers to a node", "bytes/s", per, 1, 1}.row(series[2]),
		quantity{"idle: calls to the platform of the fleet", "calls/s", per, 1, 1}.row(series[3]),
	}, nil
}

func (m *meter) idleFleet(ctx context.Context, size int, series [][][]point) error {
	r, err := newTestbed(true, domain, otherDomain)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return err
	}
	nodes, err := r.start(ctx, backService, size, domain, otherDomain)
	if err != nil {
		return err
	}
	if err := sleep(ctx, platformReadTime); err != nil {
		return err
	}
	for run := range m.runs {
		before, err := r.totals(ctx)
		if err != nil {
			return err
		}
		begin := time.Now()
		if err := sleep(ctx, window); err != nil {
			return err
		}
		seconds := time.Since(begin).Seconds()
		after, err := r.totals(ctx)
		if err != nil {
			return err
		}
		for i := range series {
			value := (after[i] - before[i]) / seconds
			if i < 3 {
				value /= float64(len(nodes))
			}
			series[i][run] = append(series[i][run], point{float64(size), value})
		}
	}
	return nil
}

// totals returns processor time, link bytes, platform bytes and platform calls
// over all nodes. The processor time is read first, so that it does not include
// the node's work for /links.
func (r *testbed) totals(ctx context.Context) (t [4]float64, err error) {
	for _, n := range r.nodes {
		v, err := n.cpu()
		if err != nil {
			return t, err
		}
		t[0] += v
	}
	t[2] = float64(r.platformBytes.Load())
	c := r.publisher.Counts()
	t[3] = float64(c.Reads + c.Watches)
	for _, n := range r.nodes {
		v, err := r.linkBytes(ctx, n)
		if err != nil {
			return t, err
		}
		t[1] += v
	}
	return t, nil
}
