package worker

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Run is one execution of a request by a backend server.
type Run struct {
	// Key is the key that the loader assigned to the request. The key of a
	// nested call is that of its parent with "/<index>@<instance>:<run>"
	// appended.
	Key string
	// Try is the caller's attempt number for the key.
	Try string
	// Request is the request ID assigned by the node.
	Request    string
	Service    string
	Instance   string
	Path       string
	Idempotent bool
	Begin, End time.Time
	// Finished is false while the run is in progress and when it was cancelled,
	// exceeded its deadline or had a failed nested call.
	Finished bool
	// Cut is true if the connection of the request was closed during the run.
	Cut bool
}

// NestedCall is the result of a call that a backend server made.
type NestedCall struct {
	Key, Try, Service, Outcome, Reason string
	Status                             int
	// Whole is false if an answer with status 200 had the wrong body.
	Whole bool
}

// Ledger records runs and nested calls. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   []Run
	nested []NestedCall
	// arrivals counts requests by key and attempt, including refused ones.
	arrivals map[Attempt]int
}

// Entries is a snapshot of a ledger.
type Entries struct {
	Runs     []Run
	Nested   []NestedCall
	Arrivals map[Attempt]int
}

// Attempt identifies a call in the call tree of one HTTP request of a caller.
type Attempt struct{ Key, Try string }

// MarshalText encodes the attempt as "<try>#<key>", so that it can be used as
// the key of a JSON object.
func (a Attempt) MarshalText() ([]byte, error) { return []byte(a.Try + "#" + a.Key), nil }

// UnmarshalText decodes the format of MarshalText.
func (a *Attempt) UnmarshalText(b []byte) error {
	var ok bool
	if a.Try, a.Key, ok = strings.Cut(string(b), "#"); !ok {
		return errors.Newf("attempt %q: missing separator #", b)
	}
	return nil
}

// Tree returns the identity of the call tree: the caller's key and the attempt
// number.
func (a Attempt) Tree() Attempt { return Attempt{Key: Root(a.Key), Try: a.Try} }

// Root returns the caller's key, with which the key of a nested call begins.
func Root(key string) string {
	root, _, _ := strings.Cut(key, "/")
	return root
}

func (l *Ledger) recordArrival(key, try string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[Attempt]int)
	}
	l.arrivals[Attempt{key, try}]++
}

func (l *Ledger) beginRun(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Ledger) endRun(index int, now time.Time, finished, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].End = now
	l.runs[index].Finished = finished
	l.runs[index].Cut = cut
}

func (l *Ledger) recordCall(c NestedCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nested = append(l.nested, c)
}

// Entries returns a snapshot of the ledger.
func (l *Ledger) Entries() Entries {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Entries{Runs: slices.Clone(l.runs), Nested: slices.Clone(l.nested), Arrivals: maps.Clone(l.arrivals)}
}
