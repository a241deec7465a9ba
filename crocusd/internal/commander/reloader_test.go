package commander

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/configurer"
	"crocustack/crocusd/internal/catcher"
)

// fakeNode records the calls of Reload and ReloadFailed.
type fakeNode struct{ calls chan string }

func (f *fakeNode) Run(context.Context) error      { return nil }
func (f *fakeNode) Reload(cfg configurer.Settings) { f.calls <- cfg.Node.Service }
func (f *fakeNode) ReloadFailed(error)             { f.calls <- "failed" }

func writeSettings(t *testing.T, file, service string) []byte {
	t.Helper()
	b := []byte("Node: {Service: " + service + `, Domain: d, Region: r, Link: "127.0.0.1:1", Entry: "127.0.0.1:2", Outbound: "127.0.0.1:3", Admin: "127.0.0.1:4"}
Backend: {URL: "http://127.0.0.1:5"}
Platform: {URL: "http://127.0.0.1:6"}
`)
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return b
}

// TestReload guards against changed settings that are not passed to the node,
// and against invalid ones that are.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	n := &fakeNode{calls: make(chan string, 8)}
	r := newReloader(file, writeSettings(t, file, "one"), n, catcher.Hangups())
	r.reload() // Nothing has changed.
	writeSettings(t, file, "two")
	r.reload()
	writeSettings(t, file, "{")
	r.reload()
	r.reload() // Invalid settings are reported once.
	close(n.calls)
	var got []string
	for s := range n.calls {
		got = append(got, s)
	}
	if d := cmp.Diff([]string{"two", "failed"}, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}

// TestHangupWhileStopping guards against SIGHUP terminating a process that is
// draining, as happens when settings change during a rolling restart. If the
// signal were not caught, the process of this test would be terminated.
func TestHangupWhileStopping(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	n := &fakeNode{calls: make(chan string, 8)}
	r := newReloader(file, writeSettings(t, file, "one"), n, catcher.Hangups())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		r.run(ctx)
		close(ended)
	}()
	writeSettings(t, file, "two")
	select {
	case <-n.calls: // The reloader is running.
	case <-time.After(10 * time.Second):
		t.Fatal("the change of the file was not detected")
	}
	cancel()
	<-ended
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // Wait until the signal is delivered.
}
