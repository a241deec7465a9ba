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

// Silence detects that one link with pending requests has gone silent, and
// decides when to probe and when to abandon it. It is not safe for concurrent
// use.
type Silence struct {
	quiet, timeout time.Duration
	// decided is the time of the last call of Decide.
	decided time.Duration
	// since is the start of the silence: the latest of the last read, the last
	// Decide without pending requests, the first Decide with some and the last
	// late Decide.
	since time.Duration
	// waiting is true when requests were pending at the last call of Decide.
	waiting bool
	// probed is the time of the probe, valid while probing is true. It is at
	// least quiet later than since.
	probed  time.Duration
	probing bool
	// abandoned is never reset: an abandoned link stays out of use.
	abandoned bool
}

// NewSilence returns the detector of a new link. A link with pending requests is
// probed when nothing was read for quiet, and abandoned when nothing is read
// within timeout after the probe.
func NewSilence(quiet, timeout time.Duration) *Silence {
	return &Silence{quiet: quiet, timeout: timeout}
}

// Read records that data was read from the link.
func (s *Silence) Read(now time.Duration) {
	s.restart(now)
}

// Decide returns what to do with the link now. It must be called at a regular
// interval well below quiet. waiting is true when requests are pending on the
// link. A call that comes more than quiet after the last one restarts the
// measurement, since this process may have been paused and not have read.
func (s *Silence) Decide(now time.Duration, waiting bool) Action {
	late := now-s.decided > s.quiet
	began := waiting && !s.waiting
	s.decided, s.waiting = max(s.decided, now), waiting
	switch {
	case s.abandoned:
		return ActionAbandon
	case !waiting, began, late:
		s.restart(now)
		return ActionNone
	case s.probing && now-s.probed >= s.timeout:
		s.abandoned = true
		return ActionAbandon
	case !s.probing && now-s.since >= s.quiet:
		s.probing, s.probed = true, now
		return ActionProbe
	}
	return ActionNone
}

// restart restarts the measurement of the silence and ends a probe.
func (s *Silence) restart(now time.Duration) {
	s.since, s.probing = max(s.since, now), false
}
