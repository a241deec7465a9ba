package detector

import "time"

//go:generate stringer -type=Action -trimprefix=Action

// Action is what the caller must do with a link.
type Action int

// The actions.
const (
	ActionNone    Action = iota
	ActionProbe          // Send a ping.
	ActionAbandon        // Take the link out of use and close it.
)

// LinkMonitor detects that one link with pending requests has gone silent, and
// decides when to probe and when to abandon the link. It is not safe for
// concurrent use.
type LinkMonitor struct {
	probeAfter, timeout time.Duration
	// lastDecide is the time of the last call of Decide.
	lastDecide time.Duration
	// silentSince is the start of the silence: the latest of the last read, the
	// last Decide without pending requests, the first Decide with some and the
	// last late Decide.
	silentSince time.Duration
	// pending is true when requests were pending at the last call of Decide.
	pending bool
	// probedAt is the time of the probe, valid while probing is true. It is at
	// least probeAfter later than silentSince.
	probedAt time.Duration
	probing  bool
	// abandoned is never reset: an abandoned link stays out of use.
	abandoned bool
}

// NewLinkMonitor returns the monitor of a new link. A link with pending
// requests is probed when nothing was read for probeAfter, and abandoned when
// nothing is read within timeout after the probe.
func NewLinkMonitor(probeAfter, timeout time.Duration) *LinkMonitor {
	return &LinkMonitor{probeAfter: probeAfter, timeout: timeout}
}

// RecordRead records that data was read from the link.
func (m *LinkMonitor) RecordRead(now time.Duration) {
	m.restart(now)
}

// Decide returns what to do with the link now. It must be called at a regular
// interval well below probeAfter. pending is true when requests are pending on
// the link. A call that comes more than probeAfter after the last one restarts
// the measurement, since this process may have been paused and not have read.
func (m *LinkMonitor) Decide(now time.Duration, pending bool) Action {
	late := now-m.lastDecide > m.probeAfter
	began := pending && !m.pending
	m.lastDecide, m.pending = max(m.lastDecide, now), pending
	switch {
	case m.abandoned:
		return ActionAbandon
	case !pending, began, late:
		m.restart(now)
		return ActionNone
	case m.probing && now-m.probedAt >= m.timeout:
		m.abandoned = true
		return ActionAbandon
	case !m.probing && now-m.silentSince >= m.probeAfter:
		m.probing, m.probedAt = true, now
		return ActionProbe
	}
	return ActionNone
}

// restart restarts the measurement of the silence and ends a probe.
func (m *LinkMonitor) restart(now time.Duration) {
	m.silentSince, m.probing = max(m.silentSince, now), false
}
