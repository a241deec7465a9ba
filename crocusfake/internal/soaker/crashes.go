package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

const (
	// crashingPath marks the requests that end the backend server that runs them.
	crashingPath = "/crash"
	// crashInterval is the mean time between two such requests.
	crashInterval = 400 * time.Millisecond
	// serverDowntime is the time from the end of a backend server to its next start.
	serverDowntime = 700 * time.Millisecond
	// contact is the time after which every node that no fault disturbs must know of
	// an event.
	contact = 3 * time.Second
	// crashesToJudge is the number of servers that a request may end before its
	// further runs are bounded, and maxLateRuns that bound.
	crashesToJudge, maxLateRuns = 3, 3
)

// crashes reports whether the requests for a target end the server that runs them.
func crashes(target string) bool { return strings.HasSuffix(target, crashingPath) }

// sendCrashing sends requests that end backend servers through random nodes until ctx
// ends: one that is idempotent, one that is not.
func (f *fleet) sendCrashing(ctx context.Context, cfg Config, j *judge) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(crashInterval))):
		}
		q := standin.Request{ID: fmt.Sprintf("crash-%d", n), Method: http.MethodGet, Host: host, Target: "/read" + crashingPath, Budget: budget}
		if rng.IntN(2) == 0 {
			q.Method, q.Target, q.Body = http.MethodPost, "/write"+crashingPath, "body"
		}
		m := f.machines[rng.IntN(len(f.machines))]
		wg.Go(func() { j.send(f, m, q, false) })
	}
}

// restarted registers the backend server of a machine after it has started again.
func (f *fleet) restarted(m *machine, instance string) {
	m.mu.Lock()
	old := m.entry.Instance
	m.replaced = append(m.replaced, old)
	m.mu.Unlock()
	f.store.Deregister(old)
	f.register(m, func(e *connector.Member) { e.Instance, e.StartMillis, e.Sequence = instance, e.StartMillis+1, 1 })
}

// checkCrashing checks that requests which have ended enough servers hardly run any
// more once the nodes are in touch: later than contact after the last of these ends
// and after the last fault. The caller holds mu.
func (j *judge) checkCrashing(f *fleet, lastFault time.Time) {
	runs := make(map[string][]time.Time)
	for _, m := range f.machines {
		for _, r := range m.backend.Runs() {
			if crashes(r.Target) {
				runs[r.Target] = append(runs[r.Target], r.At)
			}
		}
	}
	for target, at := range runs {
		slices.SortFunc(at, time.Time.Compare)
		if len(at) < crashesToJudge {
			continue
		}
		from := at[crashesToJudge-1]
		if lastFault.After(from) {
			from = lastFault
		}
		late := 0
		for _, t := range at {
			if t.After(from.Add(contact)) {
				late++
			}
		}
		if late > maxLateRuns {
			j.breachLocked("%s has ended %d servers and ran %d times more than %v after the third end and the last fault, at most %d are allowed", target, len(at), late, contact, maxLateRuns)
		}
	}
}
