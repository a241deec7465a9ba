package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/recorder"
	"crocustack/core/truncator"
)

var update = flag.Bool("update", false, "rewrite the expected output and docs/OPERATIONS.md")

// TestGolden runs each case in testdata/cases. The file "command" contains the
// arguments. Each folder "node-*" is served as the admin API of a node, with its
// files as the replies, and the folder "platform" as the platform. {name} in
// files and arguments is replaced by the server's host:port, and {dead} by the
// address of a port on which nothing listens. Guards against unintended changes
// of output, exit codes and written files.
func TestGolden(t *testing.T) {
	folders, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	t.Setenv("CROCUSCTL_NODES", "") // Restores the variable after the test.
	if err := os.Unsetenv("CROCUSCTL_NODES"); err != nil {
		t.Fatal(err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			placeholders := startServers(t, folder)
			b, err := os.ReadFile(filepath.Join(folder, "command"))
			if err != nil {
				t.Fatal(err)
			}
			placeholders = append(placeholders, "{dir}", folder, "{out}", filepath.Join(t.TempDir(), "out"))
			args := strings.Fields(strings.NewReplacer(placeholders...).Replace(string(b)))
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), testEnvironment(&stdout, &stderr), args)
			got := fmt.Sprintf("%s--- stderr\n%s--- exit %d\n", stdout.String(), stderr.String(), code)
			if b, err := os.ReadFile(placeholders[len(placeholders)-1]); err == nil {
				got += "--- written\n" + string(b)
			}
			for i := 0; i < len(placeholders); i += 2 {
				got = strings.ReplaceAll(got, placeholders[i+1], placeholders[i])
			}
			expected := filepath.Join(folder, "expected")
			if *update {
				if err := os.WriteFile(expected, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(expected)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(string(want), got); d != "" {
				t.Errorf("-want +got (-update rewrites it):\n%s", d)
			}
		})
	}
}

// Guards against a watch that never ends or reports an interrupt as a failure.
func TestTopWatchEndsOnInterrupt(t *testing.T) {
	placeholders := startServers(t, "testdata/cases/top")
	var stdout, stderr bytes.Buffer
	env := testEnvironment(&stdout, &stderr)
	sleep, sleeps := env.sleep, 0
	env.sleep = func(ctx context.Context, d time.Duration) error {
		if sleeps++; sleeps > 2 {
			return context.Canceled
		}
		return sleep(ctx, d)
	}
	code := run(t.Context(), env, []string{"top", "--watch", "--node", placeholders[3]})
	if reports := strings.Count(stdout.String(), "GOODPUT"); code != 0 || reports != 2 {
		t.Errorf("exit %d, %d reports, want 0 and 2: %s%s", code, reports, stdout.String(), stderr.String())
	}
}

// Guards against a reason that explain and docs/OPERATIONS.md have no text for.
func TestAdviceIsComplete(t *testing.T) {
	for _, r := range recorder.Reasons() {
		if a := AdviceFor(r); a.Outcomes == "" || a.Status == "" || a.Meaning == "" || a.Action == "" {
			t.Errorf("reason %v has no full text", r)
		}
	}
}

// testEnvironment returns an environment whose clock advances only when a verb
// sleeps.
func testEnvironment(stdout, stderr *bytes.Buffer) *environment {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return &environment{
		stdout: stdout, stderr: stderr, client: &http.Client{},
		now: func() time.Time { return now },
		sleep: func(_ context.Context, d time.Duration) error {
			now = now.Add(d)
			return nil
		},
	}
}

// startServers starts the servers of a case and returns the placeholders, each
// followed by its address.
func startServers(t *testing.T, folder string) []string {
	folders, err := filepath.Glob(filepath.Join(folder, "*", ""))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The listener stays open until all servers have ports, so that no server
	// is given this one.
	defer l.Close() //nolint:errcheck // A port that stays open fails the case.
	placeholders := []string{"{dead}", l.Addr().String()}
	for _, f := range folders {
		if info, err := os.Stat(f); err != nil || !info.IsDir() {
			continue
		}
		s := httptest.NewUnstartedServer(nil)
		t.Cleanup(s.Close)
		address := s.Listener.Addr().String()
		placeholders = append(placeholders, "{"+filepath.Base(f)+"}", address)
		_, port, _ := net.SplitHostPort(address)
		placeholders = append(placeholders, "{"+filepath.Base(f)+"-port}", port)
		all := placeholders // Nodes start before the platform, whose files refer to them.
		var calls atomic.Int64
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			path := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/"), "v1/keys/")
			if id := r.URL.Query().Get("request"); id != "" {
				path += "-" + id
			}
			b, err := os.ReadFile(filepath.Join(f, path))
			if path == "metrics" && calls.Add(1) > 1 {
				b, err = os.ReadFile(filepath.Join(f, "metrics-later"))
			}
			if r.Method == http.MethodPost {
				path = "POST-" + path
				b, err = os.ReadFile(filepath.Join(f, path))
			}
			if err != nil {
				http.NotFound(w, r)
				return
			}
			printf(w, "%s", strings.NewReplacer(all...).Replace(string(b)))
		})
		s.Start()
	}
	return placeholders
}

// TestReplyThatStops guards against a part of a node's reply that is shown as its state. It
// is cut at every byte.
func TestReplyThatStops(t *testing.T) {
	env := testEnvironment(&bytes.Buffer{}, &bytes.Buffer{})
	o := NodeOptions{Timeout: time.Second}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nServer: node\r\n\r\n{}",
	} {
		err := truncator.Each(text, func(address string, n int) {
			got := fetch[struct{}](t.Context(), env, o, []string{address}, "/status")[0]
			if (got.err == nil) != (n == len(text)) {
				t.Errorf("%d of %d bytes of %q: error %v", n, len(text), text, got.err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
