package experimenter

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/judger"
	"crocustack/crocusfake/internal/loader"
)

// DrainCase holds the results of one way for an instance to leave. The
// announcement is the moment at which the instance is told to leave.
type DrainCase struct {
	Way, Member string
	// InFlight is the number of requests at the backend server at the
	// announcement.
	InFlight int
	// LastRunMs is the time from the announcement to the start of the last run
	// at the leaving backend server; 0 if no run started after it.
	LastRunMs Milliseconds
	// Late counts the runs that began more than 2 s after the announcement.
	Late int
	// Cut counts the runs ended after the announcement whose connection was
	// closed during the run.
	Cut int
	// Interrupted counts the callers' attempts at the leaving node that were in
	// flight at the announcement and got no answer.
	Interrupted int
	// Offered counts the requests offered in the 4 s after the announcement,
	// Failed those of them without a complete answer.
	Failed, Offered int
	// Failures counts the failed requests by the last result that the caller
	// received.
	Failures map[string]int
	// ExitMs is the time from the announcement until the process exited, and
	// Exit its exit status.
	ExitMs Milliseconds
	Exit   string `json:",omitempty"`
}

// DrainResult holds the results of Drain.
type DrainResult struct {
	Head
	Cases   []DrainCase
	Verdict judger.Verdict
}

// lateAfter is the time after the announcement within which new runs at a leaving
// backend server are tolerated.
const lateAfter = 2 * time.Second

const cleanExit = "exit status 0"

// Drain lets an instance leave under load in three ways, one after another:
// its node is told to stop, its backend server reports that it drains, and the
// platform lists it as leaving.
func Drain(ctx context.Context, command string, seed uint64) (DrainResult, error) {
	const perService = 3
	rate := 0.25 * capacity(perService)
	result := DrainResult{Head: newHead(command, seed, "UpstreamsPerService", fmt.Sprint(perService),
		"OfferedPerSecond", fmt.Sprintf("%.0f", rate), "Retries", "2", "DrainTimeout", "30s")}
	f, err := startFleet(ctx, fleetConfig{policy: "Adaptive", mesh: kwitariuszMesh(), perService: perService,
		domains: []string{"waw-a", "waw-b"}, seed: seed, spread: spread})
	if err != nil {
		return result, err
	}
	defer func() { f.close(result.Breaches() > 0) }()
	cfg := loaderConfig(f, seed)
	cfg.Rate, cfg.Retries = rate, 2
	l := loader.New(cfg)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.Run(loadCtx)
	}()
	type event struct {
		member *member
		at     time.Time
	}
	var events []event
	for _, c := range []struct {
		way   string
		m     *member
		leave func(*member) error
	}{
		{"node gets SIGTERM", f.membersOf(deepService)[0], func(m *member) error { m.running().signal(syscall.SIGTERM); return nil }},
		{"backend server drains", f.membersOf("ksiegi")[0], func(m *member) error { m.worker.SetDraining(true); return nil }},
		{"platform lists it as leaving", f.membersOf("skany")[0], func(m *member) error { return f.publisher.SetInstance(m.instance("Leaving")) }},
	} {
		if err := sleep(ctx, 3*time.Second); err != nil {
			return result, err
		}
		// Interrupted work can only be observed with a request in flight.
		for end := time.Now().Add(2 * time.Second); c.m.worker.Present() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		d := DrainCase{Way: c.way, Member: c.m.name, InFlight: c.m.worker.Present()}
		at := time.Now()
		if err := c.leave(c.m); err != nil {
			return result, errors.Wrap(err, c.way)
		}
		events = append(events, event{c.m, at})
		if c.way == "node gets SIGTERM" {
			// Callers stop using an entry node that is announced as leaving.
			l.SetEntries(f.entries()[1:])
			select {
			case <-c.m.running().done:
				d.ExitMs, d.Exit = milliseconds(time.Since(at)), c.m.running().state.String()
			case <-time.After(35 * time.Second):
				d.Exit = "still running after 35 s"
			case <-ctx.Done():
				return result, ctx.Err()
			}
		}
		if err := sleep(ctx, 4*time.Second-time.Since(at)); err != nil {
			return result, err
		}
		result.Cases = append(result.Cases, d)
	}
	stop()
	<-finished
	f.waitIdle()
	records := l.Records()
	for i, e := range events {
		result.Cases[i].measure(e.member, e.at, records)
	}
	result.Verdict = judger.Judge(f.ledgers(), records, allowance)
	return result, nil
}

func (d *DrainCase) measure(m *member, at time.Time, records []loader.Record) {
	for _, r := range m.worker.Ledger().Entries().Runs {
		if r.Begin.After(at) {
			d.LastRunMs = max(d.LastRunMs, milliseconds(r.Begin.Sub(at)))
		}
		if r.Begin.After(at.Add(lateAfter)) {
			d.Late++
		}
		if r.End.After(at) && r.Cut {
			d.Cut++
		}
	}
	after := span{begin: at, end: at.Add(4 * time.Second)}
	d.Failures = make(map[string]int)
	for _, r := range records {
		if after.contains(r) {
			d.Offered++
			if _, ok := r.Latency(); !ok {
				d.Failed++
				d.Failures[r.LastOutcomeLabel()]++
			}
		}
		for _, t := range r.Tries {
			if t.Entry == m.settings.Node.Entry && t.Begin.Before(at) && t.End.After(at) && t.Status == 0 {
				d.Interrupted++
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Breaches counts late and cut runs, interrupted attempts, nodes that did not
// exit with status 0, and violated promises.
func (r DrainResult) Breaches() int {
	n := r.Verdict.Breaches()
	for _, c := range r.Cases {
		n += c.Late + c.Cut + c.Interrupted
		if c.Exit != "" && c.Exit != cleanExit {
			n++
		}
	}
	return n
}

// Table returns one row for each way to leave and one for the breaches.
func (r DrainResult) Table() [][]string {
	rows := [][]string{{"Way", "Member", "In flight", "Last new run", "New runs after 2 s", "Cut off", "Interrupted", "Failed / offered", "Exit", "Failures"}}
	for _, c := range r.Cases {
		rows = append(rows, []string{c.Way, c.Member, fmt.Sprint(c.InFlight), c.LastRunMs.String(), fmt.Sprint(c.Late), fmt.Sprint(c.Cut), fmt.Sprint(c.Interrupted),
			fmt.Sprintf("%d / %d", c.Failed, c.Offered), fmt.Sprintf("%s %v", c.Exit, c.ExitMs), fmt.Sprint(c.Failures)})
	}
	return append(rows, []string{"breaches", fmt.Sprint(r.Breaches()), joinSpaces(r.Verdict.Examples)})
}
