package catcher_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"crocustack/crocusd/internal/catcher"
)

// childEnv is the environment variable that marks the child process of the test.
const childEnv = "CROCUS_CATCHER_CHILD"

// init sends SIGHUP to the child process during package initialisation.
func init() {
	if os.Getenv(childEnv) != "" {
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond) // Wait until the signal is delivered.
	}
}

// TestHangupDuringInitialisation guards against SIGHUP terminating a process
// before its main function, and against a lost signal, as can happen when
// settings change while a node is being started.
func TestHangupDuringInitialisation(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		select {
		case <-catcher.Hangups():
		case <-time.After(10 * time.Second):
			t.Error("the signal was not received")
		}
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestHangupDuringInitialisation$")
	c.Env = append(os.Environ(), childEnv+"=1")
	if out, err := c.CombinedOutput(); err != nil {
		t.Errorf("child: %v\n%s", err, out)
	}
}
