package watcher

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Value is the value of a platform key and its version.
type Value struct {
	Bytes   []byte
	Version uint64
}

// answerTimeout is the time-out of a read beyond the duration of its watch. The
// platform responds in milliseconds. A key has at most one read in flight, and
// a paused or partitioned platform must not block it for long.
const answerTimeout = 5 * time.Second

// Client reads keys of the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform with the given base URL.
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: c}
}

// Get performs one read. The error is nil unless the result is ResultFailed.
func (c *Client) Get(ctx context.Context, r Read) (Value, Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+answerTimeout)
	defer cancel()
	u := c.base + "/v1/keys/" + strings.ReplaceAll(url.PathEscape(r.Key), "%2F", "/")
	if r.After > 0 {
		u += "?" + url.Values{"after": {strconv.FormatUint(r.After, 10)}, "wait": {strconv.Itoa(int(r.Wait.Seconds()))}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Value{}, ResultFailed, errors.Wrap(err, "platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, ResultFailed, errors.Wrapf(err, "read %s", r.Key)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, ResultFailed, errors.Wrapf(err, "read %s", r.Key)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		v, err := strconv.ParseUint(resp.Header.Get("Key-Version"), 10, 64)
		if err != nil {
			return Value{}, ResultFailed, errors.Wrapf(err, "read %s: header Key-Version", r.Key)
		}
		if v <= r.After {
			return Value{}, ResultUnchanged, nil
		}
		return Value{Bytes: b, Version: v}, ResultValue, nil
	case http.StatusNotModified:
		return Value{}, ResultUnchanged, nil
	case http.StatusNotFound:
		return Value{}, ResultMissing, nil
	}
	return Value{}, ResultFailed, errors.Newf("read %s: status %d", r.Key, resp.StatusCode)
}
