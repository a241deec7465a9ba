package catcher_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"crocustack/crocusd/internal/catcher"
)

// childKey marks the process that the test starts.
const childKey = "CROCUS_CATCHER_CHILD"

// In the child, the signal comes while packages are initialised.
func init() {
	if os.Getenv(childKey) != "" {
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond) // The signal is delivered by then.
	}
}

// Pattern: settings change while a node is being started. Guards against SIGHUP
// that ends a process before its main function, and against one that is lost.
func TestHangupDuringInitialisation(t *testing.T) {
	if os.Getenv(childKey) != "" {
		select {
		case <-catcher.Hangups():
		case <-time.After(10 * time.Second):
			t.Error("the signal was not received")
		}
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestHangupDuringInitialisation$")
	c.Env = append(os.Environ(), childKey+"=1")
	if out, err := c.CombinedOutput(); err != nil {
		t.Errorf("child: %v\n%s", err, out)
	}
}
