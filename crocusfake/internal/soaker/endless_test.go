package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crocustack/platform/standin"
)

// TestAnswersWithoutEnd guards against an entry node that goes on holding the beginnings
// of long answers after it has passed them on: 250 clients that read answers without end,
// and read slowly, must not bring any node over the memory of the smallest machine.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		clients = 250
		length  = 8 * time.Second
		limit   = 5 * time.Second // Of one request.
		pause   = 100 * time.Millisecond
	)
	binary := filepath.Join(t.TempDir(), "crocusd")
	if out, err := exec.Command("go", "build", "-o", binary, "crocustack/crocusd").CombinedOutput(); err != nil {
		t.Fatalf("build crocusd: %v\n%s", err, out)
	}
	f, err := (&fleet{binaries: []string{binary}, slots: clients, limits: fmt.Sprintf("Memory: %.0fMB", doorMemory/1e6)}).startAll(t.TempDir(), 3)
	if f != nil {
		defer f.close()
	}
	if err == nil {
		err = f.waitReady(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range f.machines {
		m.backend.AnswerWith(endlessAnswer)
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	entry := net.JoinHostPort(f.machines[0].address, f.ports.outbound)
	var mu sync.Mutex
	read, whole := int64(0), 0
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := standin.Request{ID: fmt.Sprintf("e%d-%d", i, n), Method: http.MethodGet, Host: host, Target: "/read/x", Budget: limit}
				length, err := standin.ReadInPieces(entry, q, limit, pause)
				mu.Lock()
				read += length
				if err == nil {
					whole++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	peaks := make([]int64, len(f.machines))
	for ctx.Err() == nil {
		for i, m := range f.machines {
			bytes, _ := usage(m.cmd.Process.Pid)
			peaks[i] = max(peaks[i], bytes)
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	for i, peak := range peaks {
		if peak > doorMemory {
			t.Errorf("node %d: peak of %d bytes, want at most %.0f", i+1, peak, doorMemory)
		}
	}
	if whole > 0 || read < clients*holdBytes/2 {
		t.Errorf("%d answers looked complete, the clients read %d bytes; want none and long answers", whole, read)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) > 0 {
		t.Errorf("failures: %v", f.failures)
	}
	t.Logf("peaks %v, %d bytes read", peaks, read)
}

// holdBytes is the length from which nodes stream an answer.
const holdBytes = 256 << 10

// endlessAnswer sends a body until the connection is closed.
func endlessAnswer(c *net.TCPConn, _ io.Reader, id string) {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+standin.AnswerFields(id)+"\r\n")
	for piece := strings.Repeat("a", 32<<10); err == nil; {
		_, err = io.WriteString(c, piece)
	}
}
