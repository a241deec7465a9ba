package prover

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestP3WrongService guards against a request that runs at a server of another service,
// because the platform's list of instances has its node under the wrong service.
func TestP3WrongService(t *testing.T) {
	f, server := startRepeating(t)
	const requests, upstreams = 30, 2
	desk, archive := f.nodes[0], f.nodes[1]
	wrong := desk.instance("Live")
	wrong.Service = "archive"
	check(t, f.publisher.SetInstances(desk.instance("Live"), archive.instance("Live"), wrong))
	eventually(t, "wrong entry", func() bool { return desk.upstreams("archive") == upstreams })
	got := make(map[string]int)
	for n := range requests {
		got[f.postTo(desk, fmt.Sprint("/images/", n), nil)]++
	}
	if d := cmp.Diff(map[string]int{"200 Ran, 5 bytes": requests}, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.runs) != requests || desk.runs() > 0 {
		t.Errorf("%d requests ran at their server and %d elsewhere, want %d and 0", len(server.runs), desk.runs(), requests)
	}
}
