package soaker

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/platform/standin"
)

// Config configures a run.
type Config struct {
	Binary string // Path of the crocusd executable.
	// OtherBinary is the path of another version of it, which every second machine
	// runs; empty for the same.
	OtherBinary string
	Seed        uint64
	// Basic limits the faults to the original table, without requests that end backend
	// servers, so that seeds that failed with it can be reproduced.
	Basic    bool
	Machines int
	// Length is the period in which faults start.
	Length time.Duration
	// Rate is the number of requests per second.
	Rate int
}

const (
	// budget is the time budget that a client announces for a request.
	budget = 3 * time.Second
	// recoveryTime is the time that the platform has to recover after the last
	// fault, and observationTime the period after it in which the served share is
	// measured.
	recoveryTime    = 5 * time.Second
	observationTime = 3 * time.Second
	// minServedShare is the minimum share of requests served in that period.
	minServedShare = 0.99
	// startTimeout bounds the time until all nodes are ready.
	startTimeout = 20 * time.Second
)

func (c Config) schedule() []scheduledFault {
	faults := allFaults
	if c.Basic {
		faults = basicFaults
	}
	return schedule(faults, c.Seed, c.Machines, c.Length)
}

// Report is the result of a run.
type Report struct {
	Seed             uint64
	Faults, Requests int
	Served           int
	// RecoveredShare is the served share of the requests sent after the recovery time.
	RecoveredShare float64
	Breaches       []string
	// Logs is the directory with the settings and logs of the nodes. It is removed
	// after a run without breaches and errors.
	Logs string
}

// Run runs the schedule of one seed and checks the results. It writes a line to out
// for every injected fault.
func Run(ctx context.Context, cfg Config, out io.Writer) (Report, error) {
	dir, err := os.MkdirTemp("", "crocus-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "directory for logs")
	}
	f, err := newFleet([]string{cfg.Binary, cmp.Or(cfg.OtherBinary, cfg.Binary)}, !cfg.Basic, dir, cfg.Machines)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return Report{}, err
	}
	if err := f.waitReady(ctx); err != nil {
		return Report{}, errors.Wrapf(err, "logs in %s", dir)
	}
	j := newJudge()
	clients, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { f.load(clients, cfg, j) })
	if !cfg.Basic {
		wg.Go(func() { f.sendCrashing(clients, cfg, j) })
		wg.Go(func() { f.sendRevoked(clients, j) })
		wg.Go(func() { f.sendLimited(clients, j) })
	}
	for _, m := range f.machines {
		wg.Go(func() { f.watchVersions(clients, m, j) })
	}
	err = f.inject(ctx, cfg, out)
	lastFault := time.Now()
	time.Sleep(recoveryTime)
	recoveredFrom := time.Now()
	time.Sleep(observationTime)
	stop()
	wg.Wait()
	report := j.report(f, lastFault, recoveredFrom)
	report.Seed, report.Faults, report.Logs = cfg.Seed, len(cfg.schedule()), dir
	if len(report.Breaches) == 0 && err == nil {
		err = os.RemoveAll(dir)
	}
	return report, err
}

// waitReady waits until all nodes report that they are ready.
func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !standin.Ready(net.JoinHostPort(m.address, f.ports.ready)) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Newf("the node at %s is not ready within %v", m.address, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// inject runs the schedule and returns when every fault has been removed. Faults of
// one machine run one after another; faults of different machines overlap.
func (f *fleet) inject(ctx context.Context, cfg Config, out io.Writer) error {
	begin := time.Now()
	queues := make([][]scheduledFault, cfg.Machines)
	for _, p := range cfg.schedule() {
		queues[p.target] = append(queues[p.target], p)
	}
	errs := make([]error, cfg.Machines)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, queue := range queues {
		wg.Go(func() {
			for _, p := range queue {
				time.Sleep(time.Until(begin.Add(p.at)))
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				_, _ = fmt.Fprintf(out, "%8.3f %s at %s for %v\n", time.Since(begin).Seconds(), p.fault.name, f.machines[i].address, p.lasts.Round(time.Millisecond))
				mu.Unlock()
				if err := p.fault.run(f, f.machines[i], p.lasts); err != nil {
					errs[i] = errors.Wrap(err, p.fault.name)
					return
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// load sends requests at a constant rate through random nodes until ctx ends, and
// waits for the outstanding answers.
func (f *fleet) load(ctx context.Context, cfg Config, j *judge) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	ticker := time.NewTicker(time.Second / time.Duration(cfg.Rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q := standin.Request{ID: fmt.Sprintf("%016x", n), Method: http.MethodGet, Host: host, Target: "/read/x", Budget: budget}
		if rng.IntN(2) == 0 {
			q.Method, q.Target, q.Body = http.MethodPost, "/write/x", "body of "+q.ID
		}
		m := f.machines[rng.IntN(len(f.machines))]
		wg.Go(func() { j.send(f, m, q, false) })
	}
}
