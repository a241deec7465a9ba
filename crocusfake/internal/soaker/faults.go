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

// fault injects one fault at a machine and returns when it is undone.
type fault struct {
	name string
	run  func(f *fleet, m *machine, lasts time.Duration) error
}

// basicFaults and further ones are the look-up table; its order and length are
// part of what a seed means. Seeds that failed with the basic ones alone are
// repeated with these.
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
	{"delay links", func(_ *fleet, m *machine, d time.Duration) error {
		m.relay.SetDelay(200 * time.Millisecond)
		time.Sleep(d)
		m.relay.SetDelay(0)
		return nil
	}},
	{"silence links", func(_ *fleet, m *machine, _ time.Duration) error { m.relay.Silence(); return nil }},
	{"block links", func(_ *fleet, m *machine, d time.Duration) error {
		m.relay.SetBlocked(true)
		m.relay.Silence()
		time.Sleep(d)
		m.relay.SetBlocked(false)
		return nil
	}},
	{"close links", func(_ *fleet, m *machine, _ time.Duration) error { m.relay.CloseConnections(); return nil }},
	{"store down", func(f *fleet, _ *machine, d time.Duration) error {
		f.store.SetDown(true)
		time.Sleep(d)
		f.store.SetDown(false)
		return nil
	}},
	{"store forgets", func(f *fleet, _ *machine, _ time.Duration) error { f.store.Compact(); return nil }},
	{"new configuration", func(f *fleet, _ *machine, _ time.Duration) error { f.publish(); return nil }},
	{"shed", func(_ *fleet, m *machine, _ time.Duration) error { m.backend.Shed(20); return nil }},
	{"drain", func(f *fleet, m *machine, d time.Duration) error {
		f.register(m, func(e *connector.Member) { e.Draining = true })
		time.Sleep(d)
		f.register(m, func(e *connector.Member) { e.Draining = false })
		return nil
	}},
	{"replace", func(f *fleet, m *machine, d time.Duration) error {
		m.mu.Lock()
		old := m.entry.Instance
		next := fmt.Sprint(old, "r")
		m.mu.Unlock()
		m.backend.Restart(next)
		time.Sleep(d / 2)
		f.store.Deregister(old)
		f.register(m, func(e *connector.Member) { e.Instance, e.Born, e.Sequence = next, e.Born+1, 1 })
		return nil
	}},
}

// allFaults adds those of single machines' ways: one direction of the links, the
// way to the store, and answers of the backend server.
var allFaults = append(slices.Clip(basicFaults), []fault{
	{"cut links one way", func(_ *fleet, m *machine, d time.Duration) error {
		m.relay.SetOneWay(true)
		time.Sleep(d)
		m.relay.SetOneWay(false)
		return nil
	}},
	{"cut from the store", func(_ *fleet, m *machine, d time.Duration) error {
		m.toStore.SetBlocked(true)
		time.Sleep(d)
		m.toStore.SetBlocked(false)
		return nil
	}},
	{"hear the store no more", func(_ *fleet, m *machine, d time.Duration) error {
		m.toStore.SetOneWay(true)
		time.Sleep(d)
		m.toStore.SetOneWay(false)
		return nil
	}},
	{"slow store", func(_ *fleet, m *machine, d time.Duration) error {
		m.toStore.SetDelay(250 * time.Millisecond)
		time.Sleep(d)
		m.toStore.SetDelay(0)
		return nil
	}},
	{"reset the store's connections", func(_ *fleet, m *machine, _ time.Duration) error { m.toStore.CloseConnections(); return nil }},
	{"lose answers", func(_ *fleet, m *machine, d time.Duration) error {
		m.backend.Lose(true)
		time.Sleep(d / 4)
		m.backend.Lose(false)
		return nil
	}},
}...)

// planned is one entry of the schedule of a seed.
type planned struct {
	fault  fault
	at     time.Duration
	lasts  time.Duration
	target int
}

const (
	// faultGap is the mean time between the begins of two faults.
	faultGap = 700 * time.Millisecond
	// longestFault bounds how long a fault lasts.
	longestFault = 3 * time.Second
)

// schedule draws the faults that begin within the length.
func schedule(faults []fault, seed uint64, machines int, length time.Duration) []planned {
	rng := rand.New(rand.NewPCG(seed, 1))
	var plan []planned
	for at := time.Duration(rng.ExpFloat64() * float64(faultGap)); at < length; at += time.Duration(rng.ExpFloat64() * float64(faultGap)) {
		plan = append(plan, planned{
			fault: faults[rng.IntN(len(faults))], at: at, lasts: time.Duration(rng.Int64N(int64(longestFault))), target: rng.IntN(machines),
		})
	}
	return plan
}
