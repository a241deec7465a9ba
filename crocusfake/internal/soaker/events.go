package soaker

import (
	"os"
	"syscall"
	"time"
)

// startWindow is the time after a start or a resumption in which the end of a process
// by SIGHUP is no failure. A program can't catch a signal that arrives before its
// first instruction, and the platform's rules disregard process ends within a second
// of a disruption on the machine.
const startWindow = time.Second

// processEvents records the events of one run of a process.
type processEvents struct {
	// started is the time of the start, resumed that of the last SIGCONT, and sighupSent
	// that of the first SIGHUP. The latter two are zero if no such signal was sent.
	started, resumed, sighupSent time.Time
}

// endedBySIGHUPAtStart reports whether a process that ended at now was ended by a
// SIGHUP sent during its startup. If the process was paused during startup, the signal takes
// effect when it is resumed. Such an end is harmless: the platform restarts the
// process, which then reads the changed settings.
func (l processEvents) endedBySIGHUPAtStart(s *os.ProcessState, now time.Time) bool {
	ws, ok := s.Sys().(syscall.WaitStatus)
	if !ok || !ws.Signaled() || ws.Signal() != syscall.SIGHUP {
		return false
	}
	disrupted := l.started
	if l.resumed.After(disrupted) {
		disrupted = l.resumed
	}
	return !l.sighupSent.IsZero() && l.sighupSent.Sub(l.started) < startWindow && now.Sub(disrupted) < startWindow
}
