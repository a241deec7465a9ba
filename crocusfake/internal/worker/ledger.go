package worker

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Run is one run of one request at a backend server.
type Run struct {
	// Key is the loader's key of the call; nested calls append
	// "/<index>@<instance>:<run>".
	Key string
	// Try is the number of the caller's HTTP request for the key.
	Try string
	// Request is the node's request ID.
	Request    string
	Service    string
	Instance   string
	Path       string
	Idempotent bool
	Begin, End time.Time
	// Finished is false when the run was cancelled, ran out of time, lost a
	// nested call or still runs.
	Finished bool
	// Cut is true when the connection of the request was closed during the run.
	Cut bool
}

// NestedCall is what a backend server was told about a call that it made.
type NestedCall struct {
	Key, Try, Service, Outcome, Reason string
	Status                             int
	// Whole is false when a 200 answer had the wrong body.
	Whole bool
}

// Ledger records runs and nested calls. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   []Run
	nested []NestedCall
	// arrivals counts requests by key and try, refused ones included.
	arrivals map[Attempt]int
}

// Entries is a copy of a ledger.
type Entries struct {
	Runs     []Run
	Nested   []NestedCall
	Arrivals map[Attempt]int
}

// Attempt identifies a call in the call tree of one HTTP request of a caller.
type Attempt struct{ Key, Try string }

// MarshalText writes the try and the key, so that an Attempt can be a key of
// a JSON object.
func (a Attempt) MarshalText() ([]byte, error) { return []byte(a.Try + "#" + a.Key), nil }

// UnmarshalText reads what MarshalText writes.
func (a *Attempt) UnmarshalText(b []byte) error {
	var ok bool
	if a.Try, a.Key, ok = strings.Cut(string(b), "#"); !ok {
		return errors.Newf("attempt %q has no #", b)
	}
	return nil
}

// Tree identifies the call tree by the caller's key and the try.
func (a Attempt) Tree() Attempt { return Attempt{Key: Root(a.Key), Try: a.Try} }

// Root returns the caller's key that a nested call's key begins with.
func Root(key string) string {
	root, _, _ := strings.Cut(key, "/")
	return root
}

func (l *Ledger) arrive(key, try string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[Attempt]int)
	}
	l.arrivals[Attempt{key, try}]++
}

func (l *Ledger) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Ledger) end(index int, now time.Time, finished, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].End = now
	l.runs[index].Finished = finished
	l.runs[index].Cut = cut
}

func (l *Ledger) call(c NestedCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nested = append(l.nested, c)
}

// Entries returns all entries so far.
func (l *Ledger) Entries() Entries {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Entries{Runs: slices.Clone(l.runs), Nested: slices.Clone(l.nested), Arrivals: maps.Clone(l.arrivals)}
}
