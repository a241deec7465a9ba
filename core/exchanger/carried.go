package exchanger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCarried bounds the requests that a connection remembers. Past it, the connection
	// is closed.
	maxCarried = 4096
	// carriedMargin is how long past its deadline a request may still be sent again: the
	// nodes estimate the time that is left independently.
	carriedMargin = time.Second
)

// carried holds the requests that a connection has carried and that may be sent again.
// A connection must not carry an ID twice: if the server writes its first response once
// more, nothing tells the copy from the second response.
type carried struct {
	// any is true once the connection has carried a request.
	any bool
	// requests holds those that may be sent again, and some that may not any more: at most
	// maxCarried. No two of the former have the same ID.
	requests []carriedRequest
	// prune is the length of requests at which it is pruned next.
	prune int
}

// carriedRequest is one request that a connection has carried.
type carriedRequest struct {
	// hash is the hash of its ID. Two IDs with the same hash only cost a connection.
	hash uint64
	// until is when it can no longer be sent again; the zero time if that is not known.
	until time.Time
}

func (r carriedRequest) expired(now time.Time) bool { return !r.until.IsZero() && now.After(r.until) }

// minPrune is the shortest length at which requests is pruned.
const minPrune = 64

// add records a request whose time is over at the deadline; at no time if it is zero.
func (c *carried) add(now time.Time, id string, deadline time.Time) {
	c.any = true
	if !deadline.IsZero() {
		deadline = deadline.Add(carriedMargin)
	}
	if len(c.requests) >= max(c.prune, minPrune) {
		c.requests = slices.DeleteFunc(c.requests, func(r carriedRequest) bool { return r.expired(now) })
		c.prune = 2 * len(c.requests)
	}
	c.requests = append(c.requests, carriedRequest{xxhash.Sum64String(id), deadline})
}

// empty reports whether the connection has carried no request.
func (c *carried) empty() bool { return !c.any }

// full reports whether the connection must carry no other request.
func (c *carried) full() bool { return len(c.requests) >= maxCarried }

// ambiguous reports whether a response on the connection with the ID could be that to an
// earlier request. Without an ID, that can be any response but the first.
func (c *carried) ambiguous(id string) bool {
	if id == "" {
		return c.any
	}
	hash := xxhash.Sum64String(id)
	return slices.ContainsFunc(c.requests, func(r carriedRequest) bool { return r.hash == hash })
}
