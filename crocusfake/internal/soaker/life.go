package soaker

import (
	"os"
	"syscall"
	"time"
)

// startWindow bounds the excuse of a process that SIGHUP ended as it started. No
// program can catch a signal that comes before its first instruction, and the
// platform's rules count no end within a second of a disruption on the machine.
const startWindow = time.Second

// life holds what happened to one run of a process.
type life struct {
	// started is when it was started, resumed when it was last resumed, and hungUp
	// when it was first sent SIGHUP; the latter two are zero when it wasn't.
	started, resumed, hungUp time.Time
}

// hungUpAtStart tells whether a process that ended at now was ended by a SIGHUP
// that was sent while it started. One that was paused meanwhile ends once it is
// resumed. The platform starts it again with the settings that the signal
// announced.
func (l life) hungUpAtStart(s *os.ProcessState, now time.Time) bool {
	ws, ok := s.Sys().(syscall.WaitStatus)
	if !ok || !ws.Signaled() || ws.Signal() != syscall.SIGHUP {
		return false
	}
	disrupted := l.started
	if l.resumed.After(disrupted) {
		disrupted = l.resumed
	}
	return !l.hungUp.IsZero() && l.hungUp.Sub(l.started) < startWindow && now.Sub(disrupted) < startWindow
}
