package soaker

import (
	"os/exec"
	"testing"
	"time"
)

// TestEndedBySIGHUPAtStart guards against a process failure that is taken for a SIGHUP
// during startup: an end by another signal, with an error, or after the start window.
func TestEndedBySIGHUPAtStart(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		script string
		// resumed, sighupSent and ended are relative to the start; 0 means never.
		resumed, sighupSent, ended time.Duration
		want                       bool
	}{
		{"SIGHUP during startup", "kill -HUP $$", 0, 5 * ms, 10 * ms, true},
		{"SIGHUP and pause during startup", "kill -HUP $$", 1730 * ms, 5 * ms, 1740 * ms, true},
		{"SIGHUP after startup", "kill -HUP $$", 0, startWindow, startWindow + ms, false},
		{"SIGHUP after startup and a pause", "kill -HUP $$", startWindow, startWindow + ms, startWindow + 2*ms, false},
		{"SIGHUP during startup, late end", "kill -HUP $$", 0, 5 * ms, startWindow, false},
		{"SIGHUP and pause during startup, late end", "kill -HUP $$", 500 * ms, 5 * ms, 500*ms + startWindow, false},
		{"SIGHUP not sent by the soak", "kill -HUP $$", 0, 0, 10 * ms, false},
		{"SIGKILL during startup", "kill -KILL $$", 0, 5 * ms, 10 * ms, false},
		{"error during startup", "exit 1", 0, 5 * ms, 10 * ms, false},
	} {
		cmd := exec.Command("sh", "-c", c.script)
		_ = cmd.Run() // Returns an error in every case.
		l := processEvents{started: time.Unix(1, 0)}
		if c.resumed > 0 {
			l.resumed = l.started.Add(c.resumed)
		}
		if c.sighupSent > 0 {
			l.sighupSent = l.started.Add(c.sighupSent)
		}
		if got := l.endedBySIGHUPAtStart(cmd.ProcessState, l.started.Add(c.ended)); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
		if cmd.ProcessState.ExitCode() == 0 {
			t.Errorf("%s: the process ended without an error", c.name)
		}
	}
}
