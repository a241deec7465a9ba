package router

import (
	"cmp"
	"time"
)

// departureRetention is how long a departure is remembered after its upstream was
// listed last.
const departureRetention = 10 * time.Minute

// departure is one run of a backend server that has stated that it leaves.
type departure struct {
	// startMillis is Upstream.StartMillis of the run.
	startMillis int64
	// listedAt is when the run was listed last, or when it stated its departure.
	listedAt time.Duration
}

// departures holds the departures by instance. A run that leaves gets no work
// again, whatever a list of upstreams says: the list may be older than the
// statement.
type departures map[string]departure

// includes reports whether an upstream is a run that leaves. Another run of the
// same instance is not, whichever of them states the later start: the clock of its
// machine may have been set back.
func (d departures) includes(u Upstream) bool {
	e, ok := d[u.Instance]
	return ok && u.Instance != "" && (e.startMillis == 0 || u.StartMillis == 0 || u.StartMillis == e.startMillis)
}

// update records that an upstream is listed and drops departures that have not
// been listed for departureRetention.
func (d departures) update(now time.Duration, listed []Upstream) {
	for _, u := range listed {
		if d.includes(u) {
			// A start that was not known at the statement is known now.
			d[u.Instance] = departure{cmp.Or(u.StartMillis, d[u.Instance].startMillis), now}
		}
	}
	for instance, e := range d {
		if now-e.listedAt > departureRetention {
			delete(d, instance)
		}
	}
}

// MarkDeparting records that the run of an instance behind an upstream leaves: it
// gets no new work again. It does nothing if another instance is listed under the
// address.
func (r *Router) MarkDeparting(now time.Duration, name, address, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.find(name, address)
	if st == nil || st.Instance != instance || instance == "" || st.departing {
		return
	}
	r.departures[instance] = departure{st.StartMillis, now}
	st.departing = true
	r.rebuild(now, r.services[name])
}
