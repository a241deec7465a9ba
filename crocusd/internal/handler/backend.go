package handler

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/exchanger"
	"crocustack/core/resolver"
)

// Headers between the gate and its backend server.
const (
	HeaderParent  = "Crocus-Parent"
	HeaderTimeout = "Crocus-Timeout-Ms"
	HeaderRequest = "Crocus-Request"
	// HeaderExchange identifies one exchange with the backend server, which states it in
	// the response. A response that states none, as that of a server of an earlier version,
	// is accepted only as the first one of a connection, which then carries no other request.
	HeaderExchange = "Crocus-Exchange"
	HeaderOutcome  = "Crocus-Outcome"
	HeaderDraining = "Crocus-Draining"
	// HeaderRateLimit is the number of requests a second, as a decimal number,
	// that the backend server accepts, for as long as its responses state it.
	HeaderRateLimit = "Crocus-Rate-Limit"
	headerTrace     = "Traceparent"
)

// idleTime is how long an idle connection is kept: less than the idle timeout of usual
// servers.
const idleTime = 20 * time.Second

// httpBackend implements connector.Backend for backend servers that use the
// project's own HTTP interface.
type httpBackend struct {
	host   string // As in the URL.
	client *exchanger.Client
}

// NewHTTPBackend returns a client for a backend server that uses the project's own HTTP
// interface, at an origin such as http://127.0.0.1:8080.
func NewHTTPBackend(origin string) (connector.Backend, error) {
	u, err := url.Parse(origin)
	if err != nil {
		return nil, errors.Wrap(err, "URL of the backend server")
	}
	port, cfg := "80", exchanger.Config{IdleTime: idleTime}
	if u.Scheme == "https" {
		port, cfg.TLS = "443", &tls.Config{ServerName: u.Hostname(), MinVersion: tls.VersionTLS12}
	}
	cfg.Address = net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), port))
	return &httpBackend{host: u.Host, client: exchanger.New(cfg)}, nil
}

// Do implements connector.Backend.
func (b *httpBackend) Do(ctx context.Context, c connector.Call) connector.Reply {
	if !connector.ValidTarget(c.Path) {
		return connector.NotRun{Reason: resolver.ReasonBadRequest}
	}
	id := newSpanID()
	resp, err := b.client.Do(ctx, exchanger.Request{
		Call: c, Header: b.requestHeader(c, id), DeadlineHeader: HeaderTimeout, ID: id, IDHeader: HeaderExchange,
	})
	if err != nil {
		return exchanger.Failure(ctx, err)
	}
	state := connector.ServerState{}.WithRateLimit(resp.Header.Get(HeaderRateLimit))
	if resp.Status == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == "NotRun" {
		resp.Body.Drain()
		return connector.NotRun{Reason: resolver.ReasonBackendRefused, Draining: resp.Header.Get(HeaderDraining) == "true", State: state}
	}
	return connector.Answered{Status: resp.Status, Headers: ForwardableHeaders(resp.Header), Body: resp.Body, State: state}
}

// Ended implements connector.Backend.
func (b *httpBackend) Ended(ctx context.Context) bool { return b.client.Ended(ctx) }

func (b *httpBackend) requestHeader(c connector.Call, exchange string) http.Header {
	header := make(http.Header, len(c.Headers)+6)
	for _, h := range c.Headers {
		header[h.GetName()] = append(header[h.GetName()], h.Strings()...)
	}
	header["Host"] = []string{b.host}
	header[HeaderParent] = []string{c.Parent}
	header[HeaderRequest] = []string{c.RequestID}
	header[HeaderExchange] = []string{exchange}
	header[headerTrace] = []string{"00-" + c.Trace + "-" + c.Parent + "-01"}
	return header
}

// ForwardableHeaders converts HTTP headers to message headers. It drops
// hop-by-hop headers and the Crocus headers, which each node sets itself.
func ForwardableHeaders(hs http.Header) []*encoder.Header {
	out := make([]*encoder.Header, 0, len(hs))
	for name, values := range hs {
		if connector.HopByHop(name) || strings.HasPrefix(name, "Crocus-") {
			continue
		}
		out = append(out, encoder.NewHeader(name, values...))
	}
	return out
}
