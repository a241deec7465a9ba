package tracer

import (
	"strings"
	"sync"
	"time"

	"crocustack/core/budgeter"
	"crocustack/core/classifier"
)

// Run is an inbound request that the backend server is processing.
type Run struct {
	// Token is the value of the Crocus-Parent header, unique within the process.
	Token string
	// TraceID is the trace ID of the traceparent header, 32 hexadecimal digits.
	TraceID string
	// RequestID is the ID of the caller's request, for the decision log.
	RequestID string
	Kind      string
	Class     classifier.Class
	TreeID    uint64
	// Depth is the depth in the call tree, 0 for the request of a caller.
	Depth    uint32
	Deadline time.Time
	// Organisation is the name of the organisation on whose behalf the request runs, or
	// empty.
	Organisation string
	// Pool holds the retries that are left for the calls of this request.
	Pool *budgeter.Pool
	// AppliedLevel is the admission level that was applied to the call tree at
	// its root.
	AppliedLevel uint32
	// Repeated is true when the request or one of its ancestors in the call tree
	// is not the first attempt.
	Repeated bool
}

// Match is the result of Registry.Find: Matched, Ambiguous or Unmatched.
//
//sumtype:decl
type Match interface{ isMatch() }

// Matched means that the call belongs to this run.
type Matched struct{ Run *Run }

// Ambiguous means that the call belongs to one of several runs. Class, Deadline
// and Depth are the lowest class, the earliest deadline and the greatest depth
// of these runs; TreeID is the one of the run registered first.
type Ambiguous struct {
	Class    classifier.Class
	Deadline time.Time
	TreeID   uint64
	Depth    uint32
}

// Unmatched means that the call matches no running request.
type Unmatched struct{}

func (Matched) isMatch()   {}
func (Ambiguous) isMatch() {}
func (Unmatched) isMatch() {}

// Registry holds the runs by token and by trace ID. It is safe for concurrent
// use.
type Registry struct {
	mu sync.Mutex
	// byToken and byTrace hold the same runs; a run is in both or in neither.
	byToken map[string]*Run
	byTrace map[string][]*Run
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byToken: make(map[string]*Run), byTrace: make(map[string][]*Run)}
}

// Add registers a run until it is passed to Remove.
func (g *Registry) Add(r *Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byToken[r.Token] = r
	g.byTrace[r.TraceID] = append(g.byTrace[r.TraceID], r)
}

// Remove removes a run. Find does not return it any more. Removing it again has
// no effect, also when another run has the same token.
func (g *Registry) Remove(r *Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byToken[r.Token] == r {
		delete(g.byToken, r.Token)
	}
	runs := g.byTrace[r.TraceID]
	for i, o := range runs {
		if o == r {
			runs = append(runs[:i], runs[i+1:]...)
			break
		}
	}
	if len(runs) == 0 {
		delete(g.byTrace, r.TraceID)
		return
	}
	g.byTrace[r.TraceID] = runs
}

// Find looks up the run of an outbound call by the values of its Crocus-Parent
// and traceparent headers; either may be empty. Crocus-Parent has precedence.
func (g *Registry) Find(parent, traceparent string) Match {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.byToken[parent]; ok {
		return Matched{Run: r}
	}
	runs := g.byTrace[TraceID(traceparent)]
	switch len(runs) {
	case 0:
		return Unmatched{}
	case 1:
		return Matched{Run: runs[0]}
	}
	a := Ambiguous{Class: runs[0].Class, Deadline: runs[0].Deadline, TreeID: runs[0].TreeID, Depth: runs[0].Depth}
	for _, r := range runs[1:] {
		a.Class = min(a.Class, r.Class)
		a.Depth = max(a.Depth, r.Depth)
		if r.Deadline.Before(a.Deadline) {
			a.Deadline = r.Deadline
		}
	}
	return a
}

// Lengths of the fields of traceparent (W3C Trace Context, section 3.2).
const (
	versionLength  = 2
	traceIDLength  = 32
	parentIDLength = 16
	flagsLength    = 2
)

// TraceID returns the trace ID of a traceparent header (W3C Trace Context,
// section 3.2), or "" when the header is malformed. Versions above 00 may have
// additional fields.
func TraceID(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < 4 || (parts[0] == "00" && len(parts) > 4) {
		return ""
	}
	version, trace, parent, flags := parts[0], parts[1], parts[2], parts[3]
	switch {
	case !isHex(version, versionLength), version == "ff",
		!isHex(trace, traceIDLength), isZero(trace),
		!isHex(parent, parentIDLength), isZero(parent),
		!isHex(flags, flagsLength):
		return ""
	}
	return trace
}

// isHex reports whether s consists of length lower-case hexadecimal digits.
func isHex(s string, length int) bool {
	return len(s) == length && strings.Trim(s, "0123456789abcdef") == ""
}

func isZero(s string) bool { return strings.Trim(s, "0") == "" }
