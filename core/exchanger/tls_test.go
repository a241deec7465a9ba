package exchanger

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

// TestTLS guards against a backend server behind TLS that can't be reached, and against
// its certificate not being checked.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	for _, c := range []struct {
		name  string
		roots *x509.CertPool
		want  string
	}{{"known certificate", roots, "body"}, {"unknown certificate", x509.NewCertPool(), "no connection"}} {
		client := New(Config{
			Address: server.Listener.Addr().String(), IdleTime: time.Second,
			TLS: &tls.Config{ServerName: "example.com", RootCAs: c.roots, MinVersion: tls.VersionTLS12},
		})
		got := "no connection"
		resp, err := client.Do(t.Context(), Request{
			Call:   connector.Call{Method: http.MethodPost, Path: "/", Body: []byte("body")},
			Header: http.Header{"Host": {"example.com"}}, DeadlineHeader: "X-Left",
			ID: "1", IDHeader: "X-Id",
		})
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			got = string(b)
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: -want +got:\n%s", c.name, d)
		}
		client.Close()
	}
}
