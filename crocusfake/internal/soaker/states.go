package soaker

import (
	"fmt"
	"strconv"
	"time"

	"crocustack/core/connector"
)

const (
	// statedRate is the rate limit that a backend server states, in requests a
	// second.
	statedRate = 2
	// tellTime is the time after which the statement binds.
	tellTime = 500 * time.Millisecond
	// maxArrivals is the number of requests that such a server may get in 4 s: one
	// and a half times what the limit allows, and 5. No fault lasts longer.
	maxArrivals = 1.5*statedRate*4 + 5
)

// stateRate makes a backend server state a rate limit for a time and checks that it
// holds.
func (f *fleet) stateRate(m *machine, lasts time.Duration) {
	begun := time.Now()
	m.backend.StateRate(strconv.Itoa(statedRate))
	time.Sleep(lasts)
	got := m.backend.ArrivalsSince(begun.Add(tellTime))
	m.backend.StateRate("")
	if got > maxArrivals {
		f.fail(fmt.Sprintf("%s stated %d requests a second and got %d in %v, at most %g are allowed", m.address, statedRate, got, lasts-tellTime, maxArrivals))
	}
}

// restoreStore restores the store from a copy of the given age. The operator and
// the backend servers write again what is lost.
func (f *fleet) restoreStore(age time.Duration) {
	copied := f.store.Copy()
	time.Sleep(age)
	f.store.SetDown(true)
	f.store.Restore(copied)
	f.mu.Lock()
	f.publishVersion()
	f.mu.Unlock()
	for _, m := range f.machines {
		f.register(m, func(*connector.Member) {})
		m.mu.Lock()
		for _, instance := range m.replaced {
			f.store.Deregister(instance)
		}
		m.mu.Unlock()
	}
	f.store.SetDown(false)
}

// fail records a failure.
func (f *fleet) fail(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, text)
}
