package meter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// pacers is the number of callers that share a rate. At 2,000 requests a second
// each sends one in 16 ms, so that a slow answer rarely delays the next one.
const pacers = 32

// post sends one request to an entry node.
func (r *rig) post(ctx context.Context, n *node, service, path string) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.entry+"/"+service+path, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// offer sends requests at a rate for a time and returns how many there were and
// how long it took. More than 1% of other answers than the status are an error.
func (r *rig) offer(ctx context.Context, n *node, service string, status int, rate float64, d time.Duration) (requests, seconds float64, err error) {
	var sent, wrong atomic.Int64
	var last atomic.Int64
	// A node that can't keep up must not hold the whole verb up.
	ctx, cancel := context.WithTimeout(ctx, 4*d)
	defer cancel()
	gap := time.Duration(float64(time.Second) * pacers / rate)
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range pacers {
		wg.Go(func() {
			for next := begin.Add(gap * time.Duration(i) / pacers); next.Before(begin.Add(d)); next = next.Add(gap) {
				if sleep(ctx, time.Until(next)) != nil {
					return
				}
				sent.Add(1)
				if got, err := r.post(ctx, n, service, "/work"); err != nil || got != status {
					wrong.Add(1)
					last.Store(int64(got))
				}
			}
		})
	}
	wg.Wait()
	if wrong.Load()*100 > sent.Load() {
		return 0, 0, errors.Newf("%d of %d requests to %s without status %d, last status %d", wrong.Load(), sent.Load(), service, status, last.Load())
	}
	return float64(sent.Load()), time.Since(begin).Seconds(), ctx.Err()
}

// hold adds requests that stay at the backend server until the rig is released,
// and returns when they are all there.
func (r *rig) hold(ctx context.Context, n *node, service string, total int) error {
	for range total - int(r.held.Load()) {
		go func() { _, _ = r.post(ctx, n, service, "/held") }()
	}
	for end := time.Now().Add(10 * time.Second); int(r.held.Load()) < total; {
		if time.Now().After(end) {
			return errors.Newf("%d of %d requests are at the backend server", r.held.Load(), total)
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
