package experimenter

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"crocustack/core/classifier"
	"crocustack/core/releaser"

	"crocustack/crocusfake/internal/judger"
	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// fault is one entry of a schedule.
type fault struct {
	name string
	// at is the start, measured from the start of the schedule, and duration the
	// time until the fault is undone.
	at, duration time.Duration
	// target selects the member or domain.
	target int
	// amount is in [0, 1); its meaning depends on the fault.
	amount float64
}

// action applies a fault and returns what undoes it.
type action func(ctx context.Context, f *fleet, x fault) (undo func())

func (f *fleet) member(x fault) *member { return f.members[x.target%len(f.members)] }

// actions maps the names of faults to their actions. The names are sorted before
// a schedule is drawn, so that a seed always gives the same schedule.
var actions = map[string]action{
	"kill": func(_ context.Context, f *fleet, x fault) func() {
		m := f.member(x)
		m.running().kill()
		return func() { f.relaunch(m) }
	},
	"freeze": func(_ context.Context, f *fleet, x fault) func() {
		p := f.member(x).running()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	},
	"backend-silent": func(_ context.Context, f *fleet, x fault) func() {
		f.member(x).backend.Silence()
		return func() {}
	},
	"backend-closed": func(_ context.Context, f *fleet, x fault) func() {
		f.member(x).backend.CloseConnections()
		return func() {}
	},
	"backend-slow": func(_ context.Context, f *fleet, x fault) func() {
		w := f.member(x).worker
		w.SetSlow(1 + 4*x.amount)
		return func() { w.SetSlow(1) }
	},
	"backend-paused": func(_ context.Context, f *fleet, x fault) func() {
		w := f.member(x).worker
		w.SetPaused(true)
		return func() { w.SetPaused(false) }
	},
	"link-silent": func(_ context.Context, f *fleet, x fault) func() {
		f.member(x).link.Silence()
		return func() {}
	},
	"link-closed": func(_ context.Context, f *fleet, x fault) func() {
		f.member(x).link.CloseConnections()
		return func() {}
	},
	"link-blocked": func(_ context.Context, f *fleet, x fault) func() {
		f.member(x).link.SetBlocked(true)
		return func() { f.member(x).link.SetBlocked(false) }
	},
	"platform-down": func(_ context.Context, f *fleet, _ fault) func() {
		f.publisher.SetDown(true)
		return func() { f.publisher.SetDown(false) }
	},
	"platform-stale": func(_ context.Context, f *fleet, _ fault) func() {
		f.publisher.SetStale(1)
		return f.publisher.SetFresh
	},
	"domain-cut": func(_ context.Context, f *fleet, x fault) func() {
		r := f.toPlatform[f.cfg.domains[x.target%len(f.cfg.domains)]]
		r.SetBlocked(true)
		return func() { r.SetBlocked(false) }
	},
	"notes-raced": func(ctx context.Context, f *fleet, x fault) func() {
		f.publishConflicting(ctx, time.Duration(x.amount*float64(100*time.Millisecond)))
		return func() {}
	},
}

// relaunch starts a killed node with the same addresses. Another socket on the
// machine may briefly occupy one of them, so a node that exits within 500 ms is
// started again, up to 10 times, as a supervisor would. If the node stays down,
// the final waitReady reports it.
func (f *fleet) relaunch(m *member) {
	for range 10 {
		if f.launch(m) != nil {
			return
		}
		select {
		case <-m.running().done:
		case <-time.After(500 * time.Millisecond):
			return
		}
	}
}

// publishConflicting publishes two notes with the same number, like two operators
// who start from the same predecessor. The second note overwrites the first on
// the platform (lost update).
func (f *fleet) publishConflicting(ctx context.Context, gap time.Duration) {
	a, b := f.successor(0, 80), f.successor(1, 90)
	f.mu.Lock()
	base := f.catalogue
	f.mu.Unlock()
	for _, n := range []releaser.Note{a, b} {
		if _, err := f.publish(n); err != nil {
			return
		}
		f.mu.Lock()
		f.catalogue = base
		f.mu.Unlock()
		if sleep(ctx, gap) != nil {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalogue, _ = base.With(append(a.Items(), b.Items()...)...)
}

// schedule draws the faults of a run. The result depends only on the arguments.
func schedule(rng *rand.Rand, length time.Duration, links bool) []fault {
	names := slices.Sorted(maps.Keys(actions))
	if !links {
		names = slices.DeleteFunc(names, func(n string) bool { return len(n) > 5 && n[:5] == "link-" })
	}
	var faults []fault
	for at := time.Second; at < length; {
		faults = append(faults, fault{
			name: names[rng.IntN(len(names))], at: at,
			duration: 200*time.Millisecond + time.Duration(rng.Float64()*float64(4*time.Second)),
			target:   rng.IntN(1 << 16), amount: rng.Float64(),
		})
		at += 200*time.Millisecond + time.Duration(rng.Float64()*float64(1200*time.Millisecond))
	}
	return faults
}

// FaultsResult holds the results of Faults.
type FaultsResult struct {
	Head
	Schedule []string
	Goodput  map[string]float64
	// Failures counts the failed Critical requests by the last result that the
	// caller received.
	Failures map[string]int
	// Healed is the goodput in the last 3 s, after all faults were undone.
	Healed  float64
	Verdict judger.Verdict
	// Release lists breaches of promise P8.
	Release   []string
	Trace     []string `json:",omitempty"`
	Directory string   `json:",omitempty"`
}

const (
	recoveryTime = 8 * time.Second
	// minHealedGoodput is the minimum goodput in the last 3 s.
	minHealedGoodput = 0.95
)

// faultMesh returns the mesh and the request kinds of the fault experiment. It
// adds two kinds that no other experiment sends: one that is not idempotent and
// has no ticket, and one whose answer is streamed.
func faultMesh() ([]service, []loader.Kind) {
	const large = 400_000
	mesh, kinds := kwitariuszMesh(), callerKinds()
	mesh[1].routes = append(mesh[1].routes, worker.Route{Method: http.MethodPost, Path: "/remarks", Mean: 10 * time.Millisecond})
	mesh[1].kinds = append(mesh[1].kinds, classifier.Kind{Name: "add-remark", Service: "ksiegi", Methods: []string{http.MethodPost},
		PathPrefix: "/remarks", Class: classifier.ClassStandard, Timeout: callerTimeout, Allowance: allowance})
	mesh[3].routes = append(mesh[3].routes, worker.Route{Method: http.MethodGet, Path: "/images", Mean: 10 * time.Millisecond, Idempotent: true, Size: large})
	mesh[3].kinds = append(mesh[3].kinds, classifier.Kind{Name: "view-image", Service: "skany", Methods: []string{http.MethodGet},
		PathPrefix: "/images", Class: classifier.ClassBrowse, Idempotent: true, Timeout: callerTimeout, Allowance: allowance})
	return mesh, append(kinds,
		loader.Kind{Name: "add-remark", Class: "Standard", Service: "ksiegi", Method: http.MethodPost, Path: "/remarks", Share: 0.10, Timeout: callerTimeout, BodySize: 500},
		loader.Kind{Name: "view-image", Class: "Browse", Service: "skany", Method: http.MethodGet, Path: "/images", Share: 0.05, Timeout: callerTimeout, AnswerSize: large})
}

// Faults offers mixed load while it injects a schedule of faults drawn from the
// seed, undoes all faults, waits for recovery and checks the promises.
func Faults(ctx context.Context, command string, seed uint64, length time.Duration) (FaultsResult, error) {
	rng := rand.New(rand.NewPCG(seed, 3))
	perService := 2 + rng.IntN(3)
	rate := 0.4 * capacity(perService)
	plan := schedule(rng, length, linkRelays())
	mesh, kinds := faultMesh()
	result := FaultsResult{Head: newHead(command, seed, "Nodes", fmt.Sprint(len(mesh)*perService), "Domains", "waw-a waw-b",
		"OfferedPerSecond", fmt.Sprintf("%.0f", rate), "Length", length.String(), "Retries", "2", "LinkRelays", fmt.Sprint(linkRelays()))}
	f, err := startFleet(ctx, fleetConfig{policy: "Adaptive", mesh: mesh, perService: perService, domains: []string{"waw-a", "waw-b"}, seed: seed, spread: spread, relays: true})
	if err != nil {
		return result, err
	}
	defer func() { f.close(result.Breaches() > 0) }()
	cfg := loaderConfig(f, seed)
	cfg.Kinds, cfg.Rate, cfg.Retries = kinds, rate, 2
	l := loader.New(cfg)
	w := newReleaseWatch(f)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(loadCtx) })
	wg.Go(func() { w.run(loadCtx) })

	begin := time.Now()
	result.Schedule = f.inject(ctx, plan)
	faultSpan := span{begin: begin, end: time.Now()}
	if err := f.waitReady(ctx, f.members, f.noteNumber()); err != nil {
		result.Release = append(result.Release, err.Error())
	}
	if err := sleep(ctx, recoveryTime); err != nil {
		return result, err
	}
	healedSpan := span{begin: time.Now().Add(-3 * time.Second), end: time.Now()}
	result.Release = append(result.Release, w.check(ctx)...)
	stop()
	wg.Wait()
	f.waitIdle()
	records := l.Records()
	result.Goodput = phaseFigures(records, faultSpan).Goodput
	result.Failures = make(map[string]int)
	for _, r := range records {
		if _, ok := r.Latency(); !ok && r.Class == classes[0] {
			result.Failures[r.LastOutcomeLabel()]++
		}
	}
	result.Healed = loader.Summarize(records, healedSpan.contains).Share
	result.Verdict = judger.Judge(f.ledgers(), records, allowance)
	if result.Breaches() > 0 {
		result.Directory = f.dir
		result.Trace = f.trace(result.Verdict.Request)
	}
	return result, nil
}

// inject applies the schedule and returns when every fault is undone.
func (f *fleet) inject(ctx context.Context, plan []fault) []string {
	var wg sync.WaitGroup
	defer wg.Wait()
	begin := time.Now()
	// busy holds the faults in effect, by member for kill and freeze and by name
	// otherwise. A fault that is drawn while its key is busy is skipped: a second
	// kill or freeze of the same member would mask the first.
	busy := make(map[string]bool)
	var mu sync.Mutex
	var log []string
	for _, x := range plan {
		if sleep(ctx, time.Until(begin.Add(x.at))) != nil {
			return log
		}
		m := f.member(x)
		key := x.name
		if x.name == "kill" || x.name == "freeze" {
			key = m.name
		}
		mu.Lock()
		skip := busy[key]
		busy[key] = true
		mu.Unlock()
		if skip {
			continue
		}
		log = append(log, fmt.Sprintf("%.2f s %s %s for %.2f s", x.at.Seconds(), x.name, m.name, x.duration.Seconds()))
		undo := actions[x.name](ctx, f, x)
		wg.Go(func() {
			_ = sleep(ctx, x.duration)
			undo()
			mu.Lock()
			defer mu.Unlock()
			busy[key] = false
		})
	}
	return log
}

// Breaches counts violated promises, and one more if goodput did not recover.
func (r FaultsResult) Breaches() int {
	n := r.Verdict.Breaches() + len(r.Release)
	if r.Healed < minHealedGoodput {
		n++
	}
	return n
}

// Table returns the figures, the breaches and the verdict.
func (r FaultsResult) Table() [][]string {
	v := r.Verdict
	rows := [][]string{
		{"Seed", fmt.Sprint(r.Seed)},
		{"Faults", fmt.Sprint(len(r.Schedule))},
		{"Requests / tries / runs", fmt.Sprintf("%d / %d / %d", v.Requests, v.Tries, v.Runs)},
		{"Goodput during faults", formatPercents(r.Goodput)},
		{"Goodput after healing", formatPercent(r.Healed)},
		{"Double runs", fmt.Sprint(v.DoubleRuns)},
		{"False NotRun", fmt.Sprint(v.FalseNotRun)},
		{"NotRun for a repeat after a run", fmt.Sprint(v.RepeatNotRun)},
		{"Wrong answers", fmt.Sprint(v.WrongAnswers + v.WrongNested)},
		{"Attempts per request (max)", fmt.Sprint(v.MaxAttempts)},
		{"Retries in one call tree (max)", fmt.Sprint(v.MaxRetries)},
		{"Failures of Critical", fmt.Sprint(r.Failures)},
	}
	for _, e := range slices.Concat(v.Examples, r.Release, r.Trace) {
		rows = append(rows, []string{"Breach", e})
	}
	if r.Directory != "" {
		rows = append(rows, []string{"Node logs", r.Directory})
	}
	verdict := "PASS"
	if r.Breaches() > 0 {
		verdict = "FAIL"
	}
	return append(rows, []string{"Verdict", verdict})
}
