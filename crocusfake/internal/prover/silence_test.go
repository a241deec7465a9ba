package prover

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestSilentGateKeepsItsRun guards against giving up a request that runs at a
// machine which is only silent for a while: the request is not idempotent, so it
// can't run elsewhere, and its answer arrives when the machine reports again
// within the time of the caller.
func TestSilentGateKeepsItsRun(t *testing.T) {
	f := startNumerator(t, 1, "waw-a")
	gate, desk := f.nodesOf("numerator")[0], f.nodesOf("desk")[0]
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			key := fmt.Sprintf("silent-%v", silence)
			eventually(t, "answer before the silence", func() bool { return f.send(desk, "/numerator/remarks", key+"-before", nil).outcome == "Ran" })
			gate.worker.SetSlow(30) // 20 ms of work take 600 ms.
			got := make(chan answer, 1)
			go func() { got <- f.send(desk, "/numerator/remarks", key, nil) }()
			eventually(t, "run", func() bool { return f.runsOf(key) == 1 })
			gate.signal(syscall.SIGSTOP)
			time.Sleep(silence)
			gate.signal(syscall.SIGCONT)
			a := <-got
			gate.worker.SetSlow(1)
			if runs := f.runsOf(key); a.outcome != "Ran" || a.status != 200 || runs != 1 {
				t.Errorf("status %d, outcome %q, reason %q, %d runs, want 200, Ran and 1", a.status, a.outcome, a.reason, runs)
			}
		})
	}
}
