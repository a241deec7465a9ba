package soaker

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against an excuse that covers more than SIGHUP at the start: a process
// that ends by another signal or by an error, or later.
func TestHungUpAtStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		script string
		age    time.Duration
		want   bool
	}{
		{"hung up while starting", "kill -HUP $$", 10 * time.Millisecond, true},
		{"hung up later", "kill -HUP $$", startWindow, false},
		{"killed while starting", "kill -KILL $$", 10 * time.Millisecond, false},
		{"failed while starting", "exit 1", 10 * time.Millisecond, false},
	} {
		cmd := exec.Command("sh", "-c", c.script)
		_ = cmd.Run() // Ends with an error in all cases.
		if got := hungUpAtStart(cmd.ProcessState, c.age); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
		if cmd.ProcessState.ExitCode() == 0 {
			t.Errorf("%s: the process ended without an error", c.name)
		}
	}
}
