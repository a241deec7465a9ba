package publisher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func get(t *testing.T, url string) (int, string, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Key-Version"), string(b)
}

func put(t *testing.T, p *Publisher, value string) {
	t.Helper()
	if err := p.Put("release/current", []byte(value)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a watch that misses a change, returns an old version, or
// returns early while the platform serves stale values.
func TestWatchAndStale(t *testing.T) {
	p := New(Config{})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	key := s.URL + "/v1/keys/release/current"
	if code, _, _ := get(t, key); code != http.StatusNotFound {
		t.Fatalf("missing key: status %d", code)
	}
	put(t, p, "one")
	fired := make(chan string, 1)
	go func() {
		_, version, body := get(t, key+"?after=1&wait=10")
		fired <- version + " " + body
	}()
	for p.Counts().Pending == 0 {
		time.Sleep(time.Millisecond)
	}
	put(t, p, "two")
	changed := time.Now()
	if got := <-fired; got != "2 two" || time.Since(changed) > 5*time.Second {
		t.Errorf("watch answered %q after %v", got, time.Since(changed))
	}
	p.SetStale(1)
	if _, version, body := get(t, key); version != "1" || body != "one" {
		t.Errorf("stale read answered %s %q", version, body)
	}
	put(t, p, "three")
	if code, _, _ := get(t, key+"?after=1&wait=1"); code != http.StatusNotModified {
		t.Errorf("stale watch: status %d", code)
	}
	p.SetFresh()
	if _, _, body := get(t, key+"?after=1&wait=1"); body != "three" {
		t.Errorf("fresh read answered %q", body)
	}
	p.SetDown(true)
	if resp, err := http.Get(key); err == nil {
		_ = resp.Body.Close()
		t.Error("platform answered while down")
	}
}

// Guards against a missing rate limit, which would hide nodes that read too
// often.
func TestRateLimit(t *testing.T) {
	p := New(Config{Rate: 10})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	put(t, p, "one")
	limited := 0
	for range 20 {
		if code, _, _ := get(t, s.URL+"/v1/keys/release/current"); code == http.StatusTooManyRequests {
			limited++
		}
	}
	if c := p.Counts(); limited < 10 || c.Limited != limited || c.Reads != 20 {
		t.Errorf("%d of 20 calls limited, counts %+v", limited, c)
	}
}
