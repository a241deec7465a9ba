package handler

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// Headers between the gate and its backend server.
const (
	HeaderParent   = "Crocus-Parent"
	HeaderTimeout  = "Crocus-Timeout-Ms"
	HeaderRequest  = "Crocus-Request"
	HeaderOutcome  = "Crocus-Outcome"
	HeaderDraining = "Crocus-Draining"
	headerTrace    = "Traceparent"
)

// maxIdleConns keeps the connections of a whole limit of requests alive; the
// transport's default of 2 would open a new one for most requests, at about
// 1 ms each.
const maxIdleConns = 256

// backendTransport returns the transport to the backend server. The number of
// connections is bounded by the admission limit. The idle timeout stays below
// usual server-side ones, so that the transport seldom meets a connection that
// the server is closing.
func backendTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
}

// opaqueBody hides the body's type from the HTTP transport, which would replay
// a request with a known body on a new connection. That could run a request
// twice, and for idempotent kinds it would be a retry that no allowance counts.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// httpBackend speaks the project's own HTTP interface to a backend server. It
// implements connector.Backend.
type httpBackend struct {
	url    string // Without a slash at the end.
	client *http.Client
}

// NewHTTPBackend returns the client of a backend server that speaks the
// project's own interface.
func NewHTTPBackend(url string) connector.Backend {
	return &httpBackend{url: url, client: &http.Client{Transport: backendTransport(), CheckRedirect: noRedirect}}
}

// noRedirect hands a redirect to the caller instead of following it: following
// would run a second request.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do implements connector.Backend.
func (b *httpBackend) Do(ctx context.Context, c connector.Call) connector.Reply {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := b.request(ctx, c)
	if err != nil {
		return connector.NotRun{Reason: resolver.ReasonBadRequest}
	}
	resp, err := b.client.Do(req)
	if err != nil {
		if connected {
			return connector.Unknown{Reason: resolver.ReasonBackendLost}
		}
		if ctx.Err() != nil {
			return connector.NotRun{Reason: resolver.ReasonDeadlineExceeded}
		}
		return connector.NotRun{Reason: resolver.ReasonBackendUnreachable}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == "NotRun" {
		_ = resp.Body.Close()
		return connector.NotRun{Reason: resolver.ReasonBackendRefused, Draining: resp.Header.Get(HeaderDraining) == "true"}
	}
	return connector.Answered{Status: resp.StatusCode, Headers: PassedHeaders(resp.Header), Body: resp.Body}
}

func (b *httpBackend) request(ctx context.Context, c connector.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, b.url+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Body = opaqueBody{bytes.NewReader(c.Body)}
	req.GetBody = nil
	req.ContentLength = int64(len(c.Body))
	for _, hd := range c.Headers {
		for _, v := range hd.GetValues() {
			req.Header.Add(hd.GetName(), v)
		}
	}
	deadline, _ := ctx.Deadline()
	req.Header.Set(HeaderParent, c.Parent)
	req.Header.Set(HeaderRequest, c.RequestID)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	req.Header.Set(headerTrace, "00-"+c.Trace+"-"+c.Parent+"-01")
	return req, nil
}

// PassedHeaders converts headers for a message and leaves out those of one
// connection and those that this system sets itself.
func PassedHeaders(hs http.Header) []*encoder.Header {
	out := make([]*encoder.Header, 0, len(hs))
	for name, values := range hs {
		if connector.HopByHop(name) || strings.HasPrefix(name, "Crocus-") {
			continue
		}
		out = append(out, &encoder.Header{Name: name, Values: values})
	}
	return out
}
