package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"crocustack/platform/standin"
)

// exchange is one request and the result that its client received.
type exchange struct {
	request standin.Request
	begin   time.Time
	result  standin.Result
	// allowNotFound is set if the node may not know the route of the request, so that
	// status 404 is a valid answer.
	allowNotFound bool
}

// judge records the results of all requests and the breaches found. It is safe for
// concurrent use.
type judge struct {
	mu        sync.Mutex
	exchanges map[string]exchange
	breaches  []string
}

func newJudge() *judge { return &judge{exchanges: make(map[string]exchange)} }

// send sends one request through the node of a machine and records the result.
func (j *judge) send(f *fleet, m *machine, q standin.Request, allowNotFound bool) standin.Result {
	if q.Key == "" && f.keyed {
		q.Key = standin.Key(soakOrganisation)
	}
	begin := time.Now()
	// The client waits longer than the budget that it announces, so that an answer
	// sent just before the deadline is received.
	ctx, cancel := context.WithTimeout(context.Background(), q.Budget+time.Second)
	defer cancel()
	r := standin.Send(ctx, net.JoinHostPort(m.address, f.ports.outbound), q)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.exchanges[q.ID] = exchange{request: q, begin: begin, result: r, allowNotFound: allowNotFound}
	return r
}

// report compares the results of the clients with the runs recorded by the backend
// servers. lastFault is the end of the last fault, recoveredFrom the time from which
// requests must be served again.
func (j *judge) report(f *fleet, lastFault, recoveredFrom time.Time) Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make(map[string]int)
	var limitedRuns []time.Time
	for _, m := range f.machines {
		for _, r := range m.backend.Runs() {
			runs[r.ID]++
			if r.Organisation == limited {
				limitedRuns = append(limitedRuns, r.At)
			}
			j.checkRun(r)
		}
	}
	slices.SortFunc(limitedRuns, time.Time.Compare)
	j.checkLimit(limitedRuns)
	j.checkCrashing(f, lastFault)
	var report Report
	recovered, recoveredServed := 0, 0
	for id, x := range j.exchanges {
		j.checkResult(x, runs[id])
		if x.allowNotFound || crashes(x.request.Target) {
			continue
		}
		report.Requests++
		served := x.result.Status == http.StatusOK
		if served {
			report.Served++
		}
		if x.begin.After(recoveredFrom) {
			recovered++
			if served {
				recoveredServed++
			}
		}
	}
	if recovered > 0 {
		report.RecoveredShare = float64(recoveredServed) / float64(recovered)
	}
	if report.RecoveredShare < minServedShare {
		j.breachLocked("%.3f of %d requests served %v after the last fault, want %.2f", report.RecoveredShare, recovered, recoveryTime, minServedShare)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	report.Breaches = append(j.breaches, f.failures...)
	return report
}

// breachLocked records a violated guarantee. The caller holds mu.
func (j *judge) breachLocked(format string, args ...any) {
	j.breaches = append(j.breaches, fmt.Sprintf(format, args...))
}

// breach records a violated guarantee. The caller must not hold mu.
func (j *judge) breach(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breachLocked(format, args...)
}

// checkRun compares a run at a backend server with the request that the client sent.
func (j *judge) checkRun(r standin.Run) {
	x, ok := j.exchanges[r.ID]
	switch {
	case !ok:
		j.breachLocked("%s ran and no client sent it", r.ID)
	case r.Method != x.request.Method || r.Target != x.request.Target || r.Body != x.request.Body || r.Host != host:
		j.breachLocked("%s ran as %+v", r.ID, r)
	case r.Caller != service:
		j.breachLocked("%s ran for the caller %q", r.ID, r.Caller)
	}
}

// checkResult compares the result that a client received with the number of runs of
// its request.
func (j *judge) checkResult(x exchange, runs int) {
	id, r := x.request.ID, x.result
	if x.request.Method == http.MethodPost && runs > 1 {
		j.breachLocked("%s must not run twice and ran %d times", id, runs)
	}
	switch r.Status {
	case http.StatusOK:
		if !r.Proof || !strings.HasSuffix(r.Body, standin.Answer("", id)) || runs == 0 {
			j.breachLocked("%s got %+v and ran %d times", id, r, runs)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if runs > 0 {
			j.breachLocked("%s was told that it didn't run (%d) and ran %d times", id, r.Status, runs)
		}
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusUnauthorized:
		if !strings.HasPrefix(x.request.Key, standin.Key(versionPrefix)) || runs > 0 {
			j.breachLocked("%s was refused for its key and ran %d times", id, runs)
		}
	case http.StatusNotFound:
		if !x.allowNotFound || runs > 0 {
			j.breachLocked("%s was denied and ran %d times", id, runs)
		}
	default:
		j.breachLocked("%s got status %d", id, r.Status)
	}
}
