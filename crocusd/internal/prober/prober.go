package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Interval is the time between two probes. It is the maximum delay until a drain
// is detected when the backend server gets no requests that it could refuse. A
// probe takes about 6 ms of a backend server.
const Interval = 500 * time.Millisecond

// maxHealthBytes is the maximum number of bytes that are read of a response.
const maxHealthBytes = 64 << 10

// Prober polls one health endpoint.
type Prober struct {
	URL    string
	Client *http.Client
}

// New returns a Prober with its own connection pool, so that probes are not
// queued behind requests.
func New(url string) *Prober {
	return &Prober{URL: url, Client: &http.Client{Timeout: Interval, Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

// Run probes until the backend server reports that it is draining, then calls
// draining and returns. It also returns when ctx ends.
func (p *Prober) Run(ctx context.Context, draining func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		if p.isDraining(ctx) {
			draining()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isDraining reports whether the backend server says that it is draining. It
// returns false when the endpoint cannot be read, because an unreachable backend
// server is detected by the requests that fail.
func (p *Prober) isDraining(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return false
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	if err != nil {
		return false // The end of the response is missing.
	}
	var health struct{ State string }
	return json.Unmarshal(body, &health) == nil && health.State == "Draining"
}
