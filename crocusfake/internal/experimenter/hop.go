package experimenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/worker"
)

// HopResult holds the results of Hop.
type HopResult struct {
	Head
	Direct, Hop, Added Quantiles
}

// Quantiles holds quantiles of a latency.
type Quantiles struct {
	P50, P90, P99, P999 Milliseconds
}

// Hop measures the latency of a request through two nodes and of the same
// request sent directly to the backend server, alternately and one at a time.
func Hop(ctx context.Context, command string, seed uint64, n int) (HopResult, error) {
	result := HopResult{Head: newHead(command, seed, "Requests", fmt.Sprint(n),
		"Path", "caller, entry node of ksiegi, node of archiwum, backend server without service time")}
	f, err := startFleet(ctx, fleetConfig{
		policy: "Adaptive", mesh: kwitariuszMesh()[:2], perService: 1, domains: []string{"waw-a"}, seed: seed,
	})
	if err != nil {
		return result, err
	}
	defer f.close(false)
	direct := f.membersOf(deepService)[0].settings.Backend.URL + "/ping"
	hop := "http://" + f.membersOf("ksiegi")[0].settings.Node.Entry + "/" + deepService + "/ping"
	client := &http.Client{Timeout: 5 * time.Second}
	directTimes, hopTimes := hdrhistogram.New(1, 5_000_000, 3), hdrhistogram.New(1, 5_000_000, 3)
	const warmUpRequests = 200
	for i := range n + warmUpRequests {
		for _, c := range []struct {
			url string
			h   *hdrhistogram.Histogram
		}{{direct, directTimes}, {hop, hopTimes}} {
			d, err := timeRequest(ctx, client, c.url, fmt.Sprintf("hop-%d", i))
			if err != nil {
				return result, err
			}
			if i >= warmUpRequests {
				_ = c.h.RecordValue(max(1, d.Microseconds()))
			}
		}
	}
	result.Direct, result.Hop = quantiles(directTimes), quantiles(hopTimes)
	result.Added = Quantiles{
		P50: result.Hop.P50 - result.Direct.P50, P90: result.Hop.P90 - result.Direct.P90,
		P99: result.Hop.P99 - result.Direct.P99, P999: result.Hop.P999 - result.Direct.P999,
	}
	return result, nil
}

func timeRequest(ctx context.Context, client *http.Client, url, key string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set(worker.HeaderKey, key)
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "%s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.Wrapf(err, "%s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("%s: status %d, %s %s", url, resp.StatusCode, resp.Header.Get("Crocus-Outcome"), resp.Header.Get("Crocus-Reason"))
	}
	return time.Since(begin), nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	q := func(p float64) Milliseconds {
		return milliseconds(time.Duration(h.ValueAtQuantile(p)) * time.Microsecond)
	}
	return Quantiles{P50: q(50), P90: q(90), P99: q(99), P999: q(99.9)}
}

// Breaches always returns 0, since the experiment checks no promises.
func (r HopResult) Breaches() int { return 0 }

// Table returns one row for each path and one for the difference.
func (r HopResult) Table() [][]string {
	rows := [][]string{{"Way", "p50", "p90", "p99", "p99.9"}}
	for _, w := range []struct {
		name string
		q    Quantiles
	}{{"direct", r.Direct}, {"one hop", r.Hop}, {"added", r.Added}} {
		rows = append(rows, []string{w.name, w.q.P50.String(), w.q.P90.String(), w.q.P99.String(), w.q.P999.String()})
	}
	return rows
}
