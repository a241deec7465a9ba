package soaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"crocustack/core/connector"
)

// fault is a named fault. run injects it at one machine and returns when the fault
// has been removed.
type fault struct {
	name string
	run  func(f *fleet, m *machine, lasts time.Duration) error
}

// toggled returns the run function of a fault that set turns on for the given
// duration and then off.
func toggled(set func(f *fleet, m *machine, on bool)) func(*fleet, *machine, time.Duration) error {
	return func(f *fleet, m *machine, d time.Duration) error {
		set(f, m, true)
		time.Sleep(d)
		set(f, m, false)
		return nil
	}
}

// delayIf returns d if on is set, and no delay otherwise.
func delayIf(on bool, d time.Duration) time.Duration {
	if !on {
		return 0
	}
	return d
}

// basicFaults is the table that seeds with Config.Basic draw from. Its order and
// length determine the schedule of a seed, so seeds that once failed with this table
// can only be reproduced while it stays unchanged.
var basicFaults = []fault{
	{"kill", func(f *fleet, m *machine, d time.Duration) error { return f.restart(m, syscall.SIGKILL, d/4) }},
	{"stop", func(f *fleet, m *machine, d time.Duration) error { return f.restart(m, syscall.SIGTERM, d/4) }},
	{"pause", func(_ *fleet, m *machine, d time.Duration) error {
		m.signal(syscall.SIGSTOP)
		time.Sleep(d)
		m.signal(syscall.SIGCONT)
		return nil
	}},
	{"hangup", func(f *fleet, m *machine, _ time.Duration) error {
		text := append(f.settings(m), fmt.Appendf(nil, "# %d\n", time.Now().UnixNano())...)
		err := os.WriteFile(m.settings(), text, 0o600)
		m.signal(syscall.SIGHUP)
		return err
	}},
	{"delay links", toggled(func(_ *fleet, m *machine, on bool) { m.relay.SetDelay(delayIf(on, 200*time.Millisecond)) })},
	{"silence links", func(_ *fleet, m *machine, _ time.Duration) error { m.relay.Silence(); return nil }},
	{"block links", func(_ *fleet, m *machine, d time.Duration) error {
		m.relay.SetBlocked(true)
		m.relay.Silence()
		time.Sleep(d)
		m.relay.SetBlocked(false)
		return nil
	}},
	{"close links", func(_ *fleet, m *machine, _ time.Duration) error { m.relay.CloseConnections(); return nil }},
	{"store down", toggled(func(f *fleet, _ *machine, on bool) { f.store.SetDown(on) })},
	{"store forgets", func(f *fleet, _ *machine, _ time.Duration) error { f.store.Compact(); return nil }},
	{"new configuration", func(f *fleet, _ *machine, _ time.Duration) error { f.publish(); return nil }},
	{"shed", func(_ *fleet, m *machine, _ time.Duration) error { m.backend.Shed(20); return nil }},
	{"drain", toggled(func(f *fleet, m *machine, on bool) {
		f.register(m, func(e *connector.Member) { e.Draining = on })
	})},
	{"replace", func(f *fleet, m *machine, d time.Duration) error {
		m.mu.Lock()
		old := m.entry.Instance
		next := fmt.Sprint(old, "r")
		m.replaced = append(m.replaced, old)
		m.mu.Unlock()
		m.backend.Restart(next)
		time.Sleep(d / 2)
		f.store.Deregister(old)
		f.register(m, func(e *connector.Member) { e.Instance, e.StartMillis, e.Sequence = next, e.StartMillis+1, 1 })
		return nil
	}},
}

// allFaults extends basicFaults with faults on single paths of a machine: one
// direction of its links, its connection to the store, and the answers of its
// backend server; with a store that is restored from a copy, and with backend
// servers that state a rate limit.
var allFaults = append(slices.Clip(basicFaults), []fault{
	{"cut links one way", toggled(func(_ *fleet, m *machine, on bool) { m.relay.SetOneWay(on) })},
	{"cut from the store", toggled(func(_ *fleet, m *machine, on bool) { m.storeRelay.SetBlocked(on) })},
	{"hear the store no more", toggled(func(_ *fleet, m *machine, on bool) { m.storeRelay.SetOneWay(on) })},
	{"slow store", toggled(func(_ *fleet, m *machine, on bool) { m.storeRelay.SetDelay(delayIf(on, 250*time.Millisecond)) })},
	{"reset the store's connections", func(_ *fleet, m *machine, _ time.Duration) error { m.storeRelay.CloseConnections(); return nil }},
	{"lose answers", func(_ *fleet, m *machine, d time.Duration) error {
		m.backend.DropAnswers(true)
		time.Sleep(d / 4)
		m.backend.DropAnswers(false)
		return nil
	}},
	{"restore the store", func(f *fleet, _ *machine, d time.Duration) error { f.restoreStore(d / 2); return nil }},
	{"state a rate", func(f *fleet, m *machine, d time.Duration) error { f.stateRate(m, d); return nil }},
}...)

// scheduledFault is one entry of a seed's schedule.
type scheduledFault struct {
	fault  fault
	at     time.Duration
	lasts  time.Duration
	target int
}

const (
	// faultGap is the mean time between the starts of two faults.
	faultGap = 700 * time.Millisecond
	// longestFault is the upper bound of a fault's duration.
	longestFault = 3 * time.Second
)

// schedule draws the faults that start within length. The result depends only on
// the arguments.
func schedule(faults []fault, seed uint64, machines int, length time.Duration) []scheduledFault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var plan []scheduledFault
	for at := time.Duration(rng.ExpFloat64() * float64(faultGap)); at < length; at += time.Duration(rng.ExpFloat64() * float64(faultGap)) {
		plan = append(plan, scheduledFault{
			fault: faults[rng.IntN(len(faults))], at: at, lasts: time.Duration(rng.Int64N(int64(longestFault))), target: rng.IntN(machines),
		})
	}
	return plan
}
