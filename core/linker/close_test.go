package linker

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"crocustack/core/encoder"
)

const (
	// closeCaseVariable names the environment variable that holds the case that
	// the child process of TestClosingLinkDoesNotSpin plays.
	closeCaseVariable = "LINKER_CLOSE_CASE"
	// closeStreams is the number of streams that are being read when the link
	// closes.
	closeStreams = 48
	// closeTime bounds a case, most of which is the start of the child process.
	closeTime = 20 * time.Second
	// receiveLag is how much later than the connection the receive loop of the
	// session ends, as when its goroutine waits for a processor.
	receiveLag = 500 * time.Millisecond
	// closeCPU bounds the processor time from the end of the link until all
	// readers have returned. A single spinning reader uses all of receiveLag.
	closeCPU = receiveLag / 5
)

// laggingConn delays the errors of Read by receiveLag.
type laggingConn struct{ net.Conn }

func (c laggingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(receiveLag)
	}
	return n, err
}

// waitingPeer reads every stream until it ends.
type waitingPeer struct {
	echoPeer
	reading chan struct{}
}

func (p *waitingPeer) Stream(_ *Link, s *Stream) {
	if s.Receive(&encoder.Request{}) != nil {
		return
	}
	p.reading <- struct{}{}
	_ = s.Receive(&encoder.Request{})
}

// TestClosingLinkDoesNotSpin guards against readers of streams that spin while
// their link closes. On one processor without asynchronous preemption such a
// reader keeps the goroutine that closes the link from ever running.
func TestClosingLinkDoesNotSpin(t *testing.T) {
	for _, how := range []string{"ClosedHere", "ClosedByPeer", "Reset", "Silent"} {
		t.Run(how, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), closeTime)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCloseInChildProcess$", "-test.v")
			cmd.Env = append(os.Environ(), closeCaseVariable+"="+how, "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
			out, err := cmd.CombinedOutput()
			if ctx.Err() != nil {
				t.Fatalf("the readers did not return within %v", closeTime)
			}
			if err != nil || !strings.Contains(string(out), "readers returned") {
				t.Fatalf("%v\n%s", err, out)
			}
		})
	}
}

// TestCloseInChildProcess plays one case of TestClosingLinkDoesNotSpin.
func TestCloseInChildProcess(t *testing.T) {
	how := os.Getenv(closeCaseVariable)
	if how == "" {
		t.Skip("run by TestClosingLinkDoesNotSpin")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &waitingPeer{echoPeer: echoPeer{address: ln.Addr().String(), closed: make(chan struct{}, 1)}, reading: make(chan struct{}, closeStreams)}
	remote := New(testConfig, logr.Discard(), peer)
	var serving sync.WaitGroup
	serving.Go(func() { _ = remote.Serve(ln) })
	defer func() {
		_ = ln.Close()
		serving.Wait()
		remote.Close()
	}()
	m, _ := newDialer(t)
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := &mutedConn{Conn: raw, mute: make(chan struct{}), done: make(chan struct{})}
	l, err := m.start(laggingConn{conn}, true)
	if err != nil {
		t.Fatal(err)
	}
	var readers sync.WaitGroup
	for range closeStreams {
		s := openForTest(t, l)
		if err := s.Send(&encoder.Request{}); err != nil {
			t.Fatal(err)
		}
		<-peer.reading
		readers.Go(func() { _ = s.Receive(&encoder.Request{}) })
	}
	before := processorTime(t)
	switch how {
	case "ClosedHere":
		go m.Close()
	case "ClosedByPeer":
		go remote.Close()
	case "Reset":
		_ = raw.(*net.TCPConn).SetLinger(0)
		_ = raw.Close()
	case "Silent":
		close(conn.mute)
	default:
		t.Fatalf("no such case: %q", how)
	}
	readers.Wait()
	if used := processorTime(t) - before; used > closeCPU {
		t.Errorf("%v of processor time used to close the link, want at most %v", used, closeCPU)
	}
	fmt.Println("readers returned")
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// openForTest opens a stream whose exchange counts as pending until the test
// ends.
func openForTest(t *testing.T, l *Link) *Stream {
	t.Helper()
	s, err := l.OpenStream(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.EndExchange)
	return s
}
