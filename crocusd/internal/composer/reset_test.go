package composer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// uploadBytes is more than the socket buffers between a node and its backend server
// hold, so that an upload is still being written when an early answer ends.
const uploadBytes = 12 << 20

// newAnswerFleet starts two nodes. Requests that enter at the first one are run by the
// backend server beside the second one, and may have bodies of uploadBytes.
func newAnswerFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, "other", "s")
	f.bodyBytes = uploadBytes
	f.publish(connector.Share{Service: "s", Weight: 1})
	f.eventually("a request at the second server", func() bool {
		return f.get(0, fmt.Sprint("n-", time.Now().UnixNano())).Proof && len(f.machines[1].backend.Runs()) > 0
	})
	return f
}

// answerHead returns the head of a stamped answer without its framing and its end.
func answerHead(id string) string {
	return "HTTP/1.1 200 OK\r\n" + standin.AnswerFields(id)
}

// upload sends long uploads through node 0, which the script answers, and returns what
// became of them: the status and the body, or "broken off".
func (f *fleet) upload(n int, script standin.Script) map[string]int {
	f.machines[1].backend.AnswerWith(script)
	body := strings.Repeat("u", uploadBytes)
	got := make(map[string]int)
	for range n {
		f.requests++
		r := f.send(0, standin.Request{ID: fmt.Sprint("up-", f.requests), Method: http.MethodPost, Target: "/write/x", Body: body})
		if r.Status == 0 {
			got["broken off"]++
			continue
		}
		got[fmt.Sprintf("%d, %d bytes", r.Status, len(r.Body))]++
	}
	return got
}

// reset ends a connection without an orderly end of the answer.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// TestResetDuringUpload guards against an early answer that has no length and is reset
// while the upload is still being written, and that reaches the client as a complete
// one: of the reader and the writer of a connection only one gets the error of a reset,
// the other one the end of the stream or a broken pipe. Answers that do end orderly must
// still be served, whatever becomes of the upload.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 12
	const short, long = 2_000, 400_000 // Held by the nodes, and streamed.
	// pause lets the node read the answer and fill the socket buffers.
	const pause = 100 * time.Millisecond
	f := newAnswerFleet(t)
	failure := fmt.Sprintf("502, %d bytes", len("may have run: Broken\n"))
	whole := func(n int) string { return fmt.Sprintf("200, %d bytes", n) }
	for _, c := range []struct {
		name, framing string
		length        int
		// end ends the answer. The connection is closed afterwards.
		end  func(c *net.TCPConn, rest io.Reader)
		want string
	}{
		{"reset", "", short, func(c *net.TCPConn, _ io.Reader) { reset(c) }, failure},
		{"reset of a long answer", "", long, func(c *net.TCPConn, _ io.Reader) { reset(c) }, "broken off"},
		{"close with the upload unread", "", short, func(*net.TCPConn, io.Reader) {}, failure},
		{"end, then the upload is read", "", short, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}, whole(short)},
		{"end of a long answer, then the upload is read", "", long, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}, whole(long)},
		{"end, then a reset", "", short, func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(pause)
			reset(c)
		}, whole(short)},
		{"upload is read, then the end", "", short, func(_ *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, uploadBytes)
		}, whole(short)},
		{"reset after a stated length", "Content-Length: 2000\r\n", short, func(c *net.TCPConn, _ io.Reader) { reset(c) }, whole(short)},
		{"long answer of a stated length, then the upload is read", "Content-Length: 400000\r\n", long, func(_ *net.TCPConn, rest io.Reader) {
			_, _ = io.Copy(io.Discard, rest)
		}, whole(long)},
		{"reset after a long answer of a stated length", "Content-Length: 400000\r\n", long, func(c *net.TCPConn, _ io.Reader) { reset(c) }, whole(long)},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := f.upload(uploads, func(cn *net.TCPConn, rest io.Reader, id string) {
				_, _ = io.WriteString(cn, answerHead(id)+c.framing+"\r\n"+strings.Repeat("a", c.length))
				time.Sleep(pause)
				c.end(cn, rest)
			})
			if d := cmp.Diff(map[string]int{c.want: uploads}, got); d != "" {
				t.Errorf("-want +got:\n%s", d)
			}
		})
	}
}

// TestBrokenAnswerToOldClient guards against a long answer that breaks off and that a
// client of HTTP/1.0, for which the end of the connection ends an answer, takes for
// complete.
func TestBrokenAnswerToOldClient(t *testing.T) {
	const stated = 600_000
	f := newAnswerFleet(t)
	for i, c := range []struct {
		name  string
		sent  int
		whole bool
	}{{"whole", stated, true}, {"broken off", stated - 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			f.machines[1].backend.AnswerWith(func(cn *net.TCPConn, _ io.Reader, id string) {
				_, _ = fmt.Fprintf(cn, "%sContent-Length: %d\r\n\r\n%s", answerHead(id), stated, strings.Repeat("a", c.sent))
			})
			cn, err := net.Dial("tcp", net.JoinHostPort(f.machines[0].address, f.outbound))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cn.Close() }()
			head := standin.Head(standin.Request{ID: fmt.Sprint("old-", i), Method: http.MethodGet, Host: host, Target: "/read/x"})
			_, _ = io.WriteString(cn, strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)+"\r\n")
			got, err := io.ReadAll(cn)
			_, body, _ := strings.Cut(string(got), "\r\n\r\n")
			if whole := err == nil; whole != c.whole || whole && len(body) != stated {
				t.Errorf("%d bytes, error %v; want a complete answer: %t", len(body), err, c.whole)
			}
		})
	}
}
