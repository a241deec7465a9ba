package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Interval is the time between two probes and bounds how late a drain is seen
// when the backend server gets no requests that it could refuse. A probe takes
// about 6 ms of a backend server.
const Interval = 500 * time.Millisecond

// maxHealthBytes bounds what is read of a health answer.
const maxHealthBytes = 64 << 10

// Prober asks one health endpoint.
type Prober struct {
	URL    string
	Client *http.Client
}

// New returns a prober with connections of its own, so that a probe does not
// wait behind requests.
func New(url string) *Prober {
	return &Prober{URL: url, Client: &http.Client{Timeout: Interval, Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

// Run probes until ctx ends and calls draining once when the backend server
// says that it is draining.
func (p *Prober) Run(ctx context.Context, draining func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		if p.drains(ctx) {
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

// drains returns false when the endpoint can't be read: an unreachable backend
// server is found by the requests that it refuses.
func (p *Prober) drains(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return false
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var health struct{ State string }
	if json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&health) != nil {
		return false
	}
	return health.State == "Draining"
}
