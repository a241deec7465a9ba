package recorder

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

// errNoDecision is returned for a log line that does not record a decision.
var errNoDecision = errors.New("not a decision line")

// decisionLine is the JSON encoding of a decision line.
type decisionLine struct {
	Decision, Request, Service, Kind, Class, Upstream, Outcome, Reason, Detail string
	TookMicros                                                                 int64
	Time                                                                       time.Time `json:"time"`
}

// ParseLine parses a decision from a line that a node logged as JSON. Any text
// before the first brace, such as the time and name that a log collector
// prepends, is returned as prefix. A decision line does not contain the status
// of a Ran outcome.
func ParseLine(line []byte) (d Decision, prefix string, err error) {
	brace := bytes.IndexByte(line, '{')
	if brace < 0 {
		return d, "", errNoDecision
	}
	var f decisionLine
	if err := json.Unmarshal(line[brace:], &f); err != nil {
		return d, "", errors.Wrap(err, "parse log line")
	}
	if f.Decision == "" {
		return d, "", errNoDecision
	}
	d = Decision{
		Time: f.Time, RequestID: f.Request, Service: f.Service, KindName: f.Kind, Upstream: f.Upstream,
		Took: time.Duration(f.TookMicros) * time.Microsecond, Detail: f.Detail,
	}
	if d.Kind, err = parseEnum(f.Decision, Kind(numKinds)); err != nil {
		return d, "", err
	}
	if d.Class, err = parseEnum(f.Class, classifier.Class(classifier.NumClasses)); err != nil {
		return d, "", err
	}
	if d.Reason, err = parseEnum(f.Reason, resolver.Reason(len(Reasons()))); err != nil {
		return d, "", err
	}
	switch f.Outcome {
	case "NotRun":
		d.Outcome = resolver.NotRun{Reason: d.Reason}
	case "Ran":
		d.Outcome = resolver.Ran{}
	case "Unknown":
		d.Outcome = resolver.Unknown{Reason: d.Reason}
	}
	return d, string(bytes.TrimSpace(line[:brace])), nil
}
