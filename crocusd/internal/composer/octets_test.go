package composer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestHeaderOctetsForwarded guards against requests that fail because a header or
// the query holds octets that are not valid UTF-8, which HTTP allows in a header
// (RFC 9110, section 5.5).
func TestHeaderOctetsForwarded(t *testing.T) {
	f := newFleet(t, "s")
	for i, c := range []struct{ query, header string }{
		{"", "caf\xe9"}, {"?q=caf\xe9", "plain"}, {"", "\x80\xff"},
	} {
		conn, err := net.Dial("tcp", net.JoinHostPort(f.machines[0].address, f.outbound))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = fmt.Fprintf(conn, "GET /read/x%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: o-%d\r\nX-Deadline-Ms: 3000\r\nX-Name: %s\r\n\r\n", c.query, host, i, c.header)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("query %q, header %q: status %d, want 200", c.query, c.header, resp.StatusCode)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
}
