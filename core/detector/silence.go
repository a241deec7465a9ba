package detector

import "time"

//go:generate stringer -type=Action -trimprefix=Action

// Action is what to do with a link.
type Action int

// The actions.
const (
	ActionNone    Action = iota
	ActionProbe          // Send a ping.
	ActionAbandon        // Take the link out of use and close it.
)

// Silence decides about one link. It is not safe for concurrent use.
type Silence struct {
	quiet, timeout time.Duration
	// decided is the time of the last Decide.
	decided time.Duration
	// since is the latest of: last read, begin of waiting, end of a late Decide.
	since time.Duration
	// waiting is true when requests were pending at the last Decide.
	waiting bool
	// probed is the time of the probe, valid while probing. It is at least
	// quiet later than since.
	probed  time.Duration
	probing bool
	// abandoned is final.
	abandoned bool
}

// NewSilence returns the decider of a new link. A link with pending requests is
// probed after quiet and abandoned when nothing is read within timeout.
func NewSilence(quiet, timeout time.Duration) *Silence {
	return &Silence{quiet: quiet, timeout: timeout}
}

// Read says that something was read from the link.
func (s *Silence) Read(now time.Duration) {
	s.restart(now)
}

// Decide returns what to do now. It is called at a regular interval well below
// quiet; waiting tells whether requests are pending on the link.
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

// restart begins the wait anew and ends a probe.
func (s *Silence) restart(now time.Duration) {
	s.since, s.probing = max(s.since, now), false
}
