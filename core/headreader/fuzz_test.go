package headreader

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzRequest guards against a head that passes the check and that the parser then reads
// with another length, and against a panic of either.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := RequestEnd(b)
		if err != nil || n == 0 {
			return
		}
		h, err := CheckRequest(b[:n])
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b[:n])))
		if err != nil {
			return
		}
		if parsed := req.ContentLength != 0; parsed != h.HasBody {
			t.Errorf("%q: body %t, parsed length %d", b, h.HasBody, req.ContentLength)
		}
	})
}

// FuzzResponse guards against a head that passes the check and of which the parser, or
// the writer of the answer to the client, then drops or changes a field.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 404\r\nX-A:\xe9\r\nX-A: \t\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := ResponseEnd(b)
		if err != nil || n == 0 || CheckResponse(b[:n]) != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b[:n])), nil)
		if err != nil || resp.Trailer != nil { // Which no node passes on.
			return
		}
		var written bytes.Buffer
		if err := resp.Header.Write(&written); err != nil {
			t.Fatal(err)
		}
		fields := bytes.Count(b[:n], []byte(lineEnd)) - 2 // The status line and the empty line.
		if got := bytes.Count(written.Bytes(), []byte(lineEnd)) + len(resp.TransferEncoding); got != fields {
			t.Errorf("%q: %d fields are written of %d", b[:n], got, fields)
		}
	})
}
