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

// concurrency is the number of callers that share a request rate. At 2,000
// requests per second each sends one every 16 ms, so that a slow answer rarely
// delays the next request.
const concurrency = 32

// post sends one request to an entry node and reads the whole answer.
func (r *testbed) post(ctx context.Context, n *node, service, path string) (status int, err error) {
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

// offer sends requests at a constant rate for the duration d and returns their
// number and the time taken. It fails if more than 1% of them failed or got
// another status than the given one.
func (r *testbed) offer(ctx context.Context, n *node, service string, status int, rate float64, d time.Duration) (requests, seconds float64, err error) {
	var sent, unexpected atomic.Int64
	var lastStatus atomic.Int64
	// Bounds the time that a node that can't keep up with the rate may take.
	ctx, cancel := context.WithTimeout(ctx, 4*d)
	defer cancel()
	interval := time.Duration(float64(time.Second) * concurrency / rate)
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range concurrency {
		wg.Go(func() {
			for next := begin.Add(interval * time.Duration(i) / concurrency); next.Before(begin.Add(d)); next = next.Add(interval) {
				if sleep(ctx, time.Until(next)) != nil {
					return
				}
				sent.Add(1)
				if got, err := r.post(ctx, n, service, "/work"); err != nil || got != status {
					unexpected.Add(1)
					lastStatus.Store(int64(got))
				}
			}
		})
	}
	wg.Wait()
	if unexpected.Load()*100 > sent.Load() {
		return 0, 0, errors.Newf("%d of %d requests to %s did not get status %d; last other status %d", unexpected.Load(), sent.Load(), service, status, lastStatus.Load())
	}
	return float64(sent.Load()), time.Since(begin).Seconds(), ctx.Err()
}

// hold adds requests until the backend server holds the total, and returns when
// all of them have arrived there. The backend server answers them when r.release
// is closed.
func (r *testbed) hold(ctx context.Context, n *node, service string, total int) error {
	for range total - int(r.held.Load()) {
		go func() { _, _ = r.post(ctx, n, service, "/held") }()
	}
	for end := time.Now().Add(10 * time.Second); int(r.held.Load()) < total; {
		if time.Now().After(end) {
			return errors.Newf("only %d of %d requests reached the backend server within 10 s", r.held.Load(), total)
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
