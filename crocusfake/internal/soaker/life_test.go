package soaker

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against an excuse that covers more than SIGHUP at the start: a process
// that ends by another signal or by an error, or later.
func TestHungUpAtStart(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		script string
		// resumed, hungUp and ended count from the start; 0 when it didn't happen.
		resumed, hungUp, ended time.Duration
		want                   bool
	}{
		{"hung up while starting", "kill -HUP $$", 0, 5 * ms, 10 * ms, true},
		{"hung up and paused while starting", "kill -HUP $$", 1730 * ms, 5 * ms, 1740 * ms, true},
		{"hung up later", "kill -HUP $$", 0, startWindow, startWindow + ms, false},
		{"hung up later, after a pause", "kill -HUP $$", startWindow, startWindow + ms, startWindow + 2*ms, false},
		{"hung up while starting, ended later", "kill -HUP $$", 0, 5 * ms, startWindow, false},
		{"hung up and paused while starting, ended later", "kill -HUP $$", 500 * ms, 5 * ms, 500*ms + startWindow, false},
		{"hung up by nobody", "kill -HUP $$", 0, 0, 10 * ms, false},
		{"killed while starting", "kill -KILL $$", 0, 5 * ms, 10 * ms, false},
		{"failed while starting", "exit 1", 0, 5 * ms, 10 * ms, false},
	} {
		cmd := exec.Command("sh", "-c", c.script)
		_ = cmd.Run() // Ends with an error in all cases.
		l := life{started: time.Unix(1, 0)}
		if c.resumed > 0 {
			l.resumed = l.started.Add(c.resumed)
		}
		if c.hungUp > 0 {
			l.hungUp = l.started.Add(c.hungUp)
		}
		if got := l.hungUpAtStart(cmd.ProcessState, l.started.Add(c.ended)); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
		if cmd.ProcessState.ExitCode() == 0 {
			t.Errorf("%s: the process ended without an error", c.name)
		}
	}
}
