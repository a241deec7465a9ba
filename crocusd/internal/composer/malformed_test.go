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

	"crocustack/platform/standin"
)

// scripted sends a request that the backend server answers with the given bytes, in which
// ID stands for the id of the request, and then leaves the connection open. It returns
// what the client got.
func (f *fleet) scripted(answer string) standin.Result {
	ended := make(chan struct{})
	defer close(ended)
	f.machines[1].backend.AnswerWith(func(c *net.TCPConn, _ io.Reader, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", id))
		<-ended
	})
	f.requests++
	return f.send(0, standin.Request{ID: fmt.Sprint("m-", f.requests), Method: http.MethodPost, Target: "/write/x"})
}

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	framed = "Content-Length: 5\r\n\r\nwhole"
)

// stamped holds the fields of an answer of the backend server.
var stamped = standin.AnswerFields("ID")

// TestMalformedAnswer guards against an answer that reaches the client although it is none
// in the protocol, or after a parser has repaired it, left a line out or ended its body
// elsewhere. It must fail at once, not at the end of the time budget.
func TestMalformedAnswer(t *testing.T) {
	f := newAnswerFleet(t)
	const atOnce = time.Second
	withField := func(line string) string { return okLine + stamped + line + "\r\n" + framed }
	for _, c := range []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 \r\n" + stamped + framed},
		{"status 099", "HTTP/1.1 099 Odd\r\n" + stamped + framed},
		{"status 600", "HTTP/1.1 600 Odd\r\n" + stamped + framed},
		{"status 999", "HTTP/1.1 999 Odd\r\n" + stamped + framed},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + stamped + framed},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + stamped + framed},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + stamped + framed},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + stamped + framed},
		{"another version", "HTTP/2.0 200 OK\r\n" + stamped + framed},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okLine + stamped + framed},
		{"blank in a name", withField("X Odd: a")},
		{"blank after a name", withField("X-Odd : a")},
		{"tab after a name", withField("X-Odd\t: a")},
		{"control byte in a name", withField("X-\x01Odd: a")},
		{"NUL in a name", withField("X-\x00Odd: a")},
		{"DEL in a name", withField("X-\x7fOdd: a")},
		{"CR in a name", withField("X-\rOdd: a")},
		{"octet in a name", withField("X-\xe9: a")},
		{"no name", withField(": a")},
		{"no colon", withField("X-Odd")},
		{"folded field", withField("X-Odd: a\r\n b")},
		{"folded status line", okLine + " X-Odd: a\r\n" + stamped + framed},
		{"NUL in a value", withField("X-Odd: a\x00b")},
		{"CR in a value", withField("X-Odd: a\rb")},
		{"DEL in a value", withField("X-Odd: a\x7fb")},
		{"bare line feeds", strings.ReplaceAll(okLine+stamped+framed, "\r\n", "\n")},
		{"one bare line feed", okLine + stamped + "X-Odd: a\n" + framed},
		{"blank after Content-Length", okLine + stamped + "Content-Length : 5\r\n\r\nwhole"},
		{"blank after Transfer-Encoding", okLine + stamped + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"two lengths", okLine + stamped + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole"},
		{"one length twice", okLine + stamped + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"},
		{"list of lengths", okLine + stamped + "Content-Length: 5, 5\r\n\r\nwhole"},
		{"length with a sign", okLine + stamped + "Content-Length: +5\r\n\r\nwhole"},
		{"length and chunks", okLine + stamped + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"other coding", okLine + stamped + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"chunk size with a sign", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n+5\r\nwhole\r\n0\r\n\r\n"},
		{"chunk longer than its size", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n4\r\nwhole\r\n0\r\n\r\n"},
		{"chunk size ended by a line feed", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\nwhole\r\n0\r\n\r\n"},
		{"chunk ended by a line feed", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\n0\r\n\r\n"},
		{"blank in the name of a trailer", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: a\r\n\r\n"},
		{"trailer without a colon", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Odd\r\n\r\n"},
		{"no HTTP", "\x00\x01\x02"},
		{"beginning of the next answer", "whole" + okLine + stamped + framed},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			got := f.scripted(c.answer)
			if got.Status != http.StatusBadGateway || got.Proof {
				t.Errorf("status %d, stamp %t, body %q, want a 502 of the node", got.Status, got.Proof, got.Body)
			}
			if took := time.Since(began); took > atOnce {
				t.Errorf("answered after %v, want within %v", took, atOnce)
			}
		})
	}
}

// TestUnusualAnswer guards against sound answers that are taken for malformed ones.
func TestUnusualAnswer(t *testing.T) {
	f := newAnswerFleet(t)
	whole := standin.Result{Status: http.StatusOK, Body: "whole", Proof: true}
	status := func(n int) standin.Result { return standin.Result{Status: n, Body: "whole", Proof: true} }
	for _, c := range []struct {
		name, answer string
		want         standin.Result
	}{
		{"plain", okLine + stamped + framed, whole},
		{"no reason", "HTTP/1.1 200 \r\n" + stamped + framed, whole},
		{"no reason and no blank", "HTTP/1.1 200\r\n" + stamped + framed, whole},
		{"reason with octets", "HTTP/1.1 200 D'accord, caf\xe9\r\n" + stamped + framed, whole},
		{"octets, tabs and blanks in values", okLine + stamped + "X-A: caf\xe9\r\nX-B: a\tb  \r\nX-C:\r\nX-D:d\r\n" + framed, whole},
		{"lower-case names", okLine + lowerNames(stamped+"Content-Length: 5\r\n") + "\r\nwhole", whole},
		{"odd but valid name", okLine + stamped + "!#$%&'*+-.^_`|~1: a\r\n" + framed, whole},
		{"fields of one name", okLine + stamped + "X-A: 1\r\nX-A: 2\r\n" + framed, whole},
		{"long head", okLine + stamped + "X-A: " + strings.Repeat("a", 40<<10) + "\r\n" + framed, whole},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okLine + stamped + framed, whole},
		{"late answer before it", okLine + standin.AnswerFields("late") + framed + okLine + stamped + framed, whole},
		{"extra answer after it", okLine + stamped + framed + okLine + stamped + framed, whole},
		{"extra bytes after it", okLine + stamped + framed + "extra", whole},
		{"chunks", okLine + stamped + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;a=b\r\nole\r\n0\r\nX-A: b\r\n\r\n", whole},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + stamped + framed, whole},
		{"status 299", "HTTP/1.1 299 Odd\r\n" + stamped + framed, status(299)},
		{"status 404", "HTTP/1.1 404 Not Found\r\n" + stamped + framed, status(http.StatusNotFound)},
		{"status 500", "HTTP/1.1 500 Internal Server Error\r\n" + stamped + framed, status(http.StatusInternalServerError)},
		{"status 599", "HTTP/1.1 599 Odd\r\n" + stamped + framed, status(599)},
		{"no content", "HTTP/1.1 204 No Content\r\n" + stamped + "\r\n", standin.Result{Status: http.StatusNoContent, Proof: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if d := cmp.Diff(c.want, f.scripted(c.answer)); d != "" {
				t.Errorf("-want +got:\n%s", d)
			}
		})
	}
}

// lowerNames returns header fields with their names in lower case.
func lowerNames(fields string) string {
	var out strings.Builder
	for line := range strings.SplitAfterSeq(fields, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		if value != "" {
			out.WriteString(strings.ToLower(name) + ":" + value)
		}
	}
	return out.String()
}
