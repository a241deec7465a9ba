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

	"crocustack/core/encoder"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/tracer"
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

// reply is what came of handing a request to the backend server: answered,
// notRun or lost.
//
//sumtype:decl
type reply interface{ reply() }

// answered carries the response; its body must be closed.
type answered struct{ resp *http.Response }

// notRun says that the backend server did not run the request.
type notRun struct {
	reason   resolver.Reason
	draining bool
}

// lost says that the request may have run.
type lost struct{ reason resolver.Reason }

func (answered) reply() {}
func (notRun) reply()   {}
func (lost) reply()     {}

// opaqueBody hides the body's type from the HTTP transport, which would replay
// a request with a known body on a new connection. That could run a request
// twice, and for idempotent kinds it would be a retry that no allowance counts.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// call hands a request to the backend server.
func (h *Handler) call(ctx context.Context, m *encoder.Run, body []byte, run *tracer.Run) reply {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := h.request(ctx, m, body, run)
	if err != nil {
		return notRun{reason: resolver.ReasonBadRequest}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		if connected {
			return lost{reason: resolver.ReasonBackendLost}
		}
		if ctx.Err() != nil {
			return notRun{reason: resolver.ReasonDeadlineExceeded}
		}
		return notRun{reason: resolver.ReasonBackendUnreachable}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == "NotRun" {
		_ = resp.Body.Close()
		return notRun{reason: resolver.ReasonBackendRefused, draining: resp.Header.Get(HeaderDraining) == "true"}
	}
	return answered{resp: resp}
}

func (h *Handler) request(ctx context.Context, m *encoder.Run, body []byte, run *tracer.Run) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, m.GetMethod(), h.cfg.BackendURL+m.GetPath(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Body = opaqueBody{bytes.NewReader(body)}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	for _, hd := range m.GetHeaders() {
		for _, v := range hd.GetValues() {
			req.Header.Add(hd.GetName(), v)
		}
	}
	deadline, _ := ctx.Deadline()
	req.Header.Set(HeaderParent, run.Token)
	req.Header.Set(HeaderRequest, run.RequestID)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	req.Header.Set(headerTrace, "00-"+run.TraceID+"-"+run.Token+"-01")
	return req, nil
}

// hopByHop holds the headers that concern one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// PassedHeaders converts headers for a message and leaves out those of one
// connection and those that this system sets itself.
func PassedHeaders(hs http.Header) []*encoder.Header {
	out := make([]*encoder.Header, 0, len(hs))
	for name, values := range hs {
		if hopByHop[name] || strings.HasPrefix(name, "Crocus-") {
			continue
		}
		out = append(out, &encoder.Header{Name: name, Values: values})
	}
	return out
}
