package recorder

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind is the kind of a decision.
type Kind int

// The kinds of decision.
const (
	KindRoute  Kind = iota // An upstream was chosen, or none was usable.
	KindAdmit              // The gate admitted or queued a request.
	KindShed               // The gate dropped a request because of load.
	KindRefuse             // A request was refused for a reason other than load.
	KindRetry              // A retry was allowed or denied.
	KindVoid               // The gate was asked to void an attempt.
	KindDrain              // Draining began or ended.
	KindNote               // A release note was accepted, rejected or merged.
	KindReader             // The node started or stopped reading from the platform.
	KindAnswer             // The outcome of a request was returned to its caller.
	KindCall               // The outcome of an outbound call was returned to the backend server that made it.
	KindState              // The backend server stated a new rate limit, its departure, or neither any more.
	KindEnd                // The backend server ended while it was running a request.
	KindTrial              // A request under which servers had ended ran on trial, or was cleared.
)

const numKinds = int(KindTrial) + 1

// Decision is one decision of a node.
type Decision struct {
	// Time is the wall-clock time of the node. It is for display only and is
	// never compared between nodes.
	Time      time.Time
	Kind      Kind
	RequestID string
	Service   string
	// KindName is the request kind as named in the release, or empty.
	KindName string
	Class    classifier.Class
	// Upstream is the address of the upstream or of the peer concerned.
	Upstream string
	// Outcome is nil if no outcome has been determined yet.
	Outcome resolver.Outcome
	// Reason defaults to the reason of Outcome if it is ReasonNone.
	Reason resolver.Reason
	// Took is the time from the arrival of the request to the decision, or 0 if
	// it was not measured.
	Took   time.Duration
	Detail string
}

// normalize sets Reason from Outcome if Reason is ReasonNone.
func (d *Decision) normalize() {
	if d.Reason != resolver.ReasonNone {
		return
	}
	switch o := d.Outcome.(type) {
	case resolver.NotRun:
		d.Reason = o.Reason
	case resolver.Unknown:
		d.Reason = o.Reason
	case resolver.Ran, nil:
	}
}

// OutcomeName returns "NotRun", "Ran", "Unknown", or "" for nil.
func OutcomeName(o resolver.Outcome) string {
	switch o.(type) {
	case resolver.NotRun:
		return "NotRun"
	case resolver.Ran:
		return "Ran"
	case resolver.Unknown:
		return "Unknown"
	}
	return ""
}

func status(o resolver.Outcome) int {
	if r, ok := o.(resolver.Ran); ok {
		return r.Status
	}
	return 0
}

// Reasons returns every reason that resolver declares, in order.
func Reasons() []resolver.Reason {
	var rs []resolver.Reason
	for r := resolver.ReasonNone; !strings.HasPrefix(r.String(), "Reason("); r++ {
		rs = append(rs, r)
	}
	return rs
}

// decisionJSON is the JSON encoding of a decision. Enum values are encoded by
// name.
type decisionJSON struct {
	Time       time.Time
	Kind       string
	RequestID  string `json:",omitempty"`
	Service    string `json:",omitempty"`
	KindName   string `json:",omitempty"`
	Class      string
	Upstream   string `json:",omitempty"`
	Outcome    string `json:",omitempty"`
	Status     int    `json:",omitempty"`
	Reason     string
	TookMicros int64  `json:",omitempty"`
	Detail     string `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler. The admin API returns this encoding.
func (d Decision) MarshalJSON() ([]byte, error) {
	d.normalize()
	return json.Marshal(decisionJSON{
		Time: d.Time, Kind: d.Kind.String(), RequestID: d.RequestID,
		Service: d.Service, KindName: d.KindName, Class: d.Class.String(),
		Upstream: d.Upstream, Outcome: OutcomeName(d.Outcome), Status: status(d.Outcome),
		Reason: d.Reason.String(), TookMicros: d.Took.Microseconds(), Detail: d.Detail,
	})
}

// UnmarshalJSON implements json.Unmarshaler. An unknown enum name is an error.
func (d *Decision) UnmarshalJSON(b []byte) error {
	var w decisionJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*d = Decision{
		Time: w.Time, RequestID: w.RequestID, Service: w.Service, KindName: w.KindName,
		Upstream: w.Upstream, Took: time.Duration(w.TookMicros) * time.Microsecond, Detail: w.Detail,
	}
	var err error
	if d.Kind, err = parseEnum(w.Kind, Kind(numKinds)); err != nil {
		return err
	}
	if d.Class, err = parseEnum(w.Class, classifier.Class(classifier.NumClasses)); err != nil {
		return err
	}
	if d.Reason, err = parseEnum(w.Reason, resolver.Reason(len(Reasons()))); err != nil {
		return err
	}
	switch w.Outcome {
	case "NotRun":
		d.Outcome = resolver.NotRun{Reason: d.Reason}
	case "Ran":
		d.Outcome = resolver.Ran{Status: w.Status}
	case "Unknown":
		d.Outcome = resolver.Unknown{Reason: d.Reason}
	case "":
	default:
		return fmt.Errorf("unknown outcome %q", w.Outcome)
	}
	return nil
}

// parseEnum returns the enum value below end whose String method returns name.
func parseEnum[T interface {
	~int
	fmt.Stringer
}](name string, end T) (T, error) {
	for v := T(0); v < end; v++ {
		if v.String() == name {
			return v, nil
		}
	}
	return 0, fmt.Errorf("unknown %T %q", end, name)
}
