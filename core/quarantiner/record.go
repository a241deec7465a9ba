package quarantiner

import (
	"fmt"
	"slices"
)

const (
	// MaxEnds is the number of servers that may end while running a request before
	// it is put on probation. Further ones are not recorded.
	MaxEnds = 3
	// MaxTrials is the number of trial runs of a request on probation under which the
	// server may end before it is quarantined.
	MaxTrials = 2
)

// Record is what is known about one request. It is immutable: the With methods
// return changed copies.
//
// Records of the same request merge like a state-based CRDT: the higher epoch wins,
// and within one epoch the ends and trials are united. So every node that has heard
// of the same events holds the same record, in whatever order it heard of them.
type Record struct {
	Key Key
	// Epoch counts how often the request was cleared. Ends and trials count within
	// one epoch.
	Epoch uint64
	// Ends holds the ids of the ends of servers that were running the request:
	// ascending, without repetition, at most MaxEnds.
	Ends []uint64
	// Trials holds the ids of trial runs under which the server ended: ascending, without
	// repetition, at most MaxTrials.
	Trials []uint64
}

// WithEnd returns the record with the end of a server.
func (r Record) WithEnd(id uint64) Record {
	r.Ends = united(r.Ends, []uint64{id}, MaxEnds)
	return r
}

// WithTrial returns the record with a trial run under which the server ended.
func (r Record) WithTrial(id uint64) Record {
	r.Trials = united(r.Trials, []uint64{id}, MaxTrials)
	return r
}

// WithClearance returns the record after a run has completed: the request is
// harmless.
func (r Record) WithClearance() Record {
	r.Epoch++
	r.Ends, r.Trials = nil, nil
	return r
}

// WithKnowledge returns the record merged with another record of the same request.
func (r Record) WithKnowledge(o Record) Record {
	switch {
	case o.Epoch > r.Epoch:
		return o.normalized()
	case o.Epoch < r.Epoch:
		return r
	}
	r.Ends = united(r.Ends, o.Ends, MaxEnds)
	r.Trials = united(r.Trials, o.Trials, MaxTrials)
	return r
}

// normalized returns the record with the invariants of its fields restored.
func (r Record) normalized() Record {
	r.Ends = united(nil, r.Ends, MaxEnds)
	r.Trials = united(nil, r.Trials, MaxTrials)
	return r
}

// String describes what is known, for log lines.
func (r Record) String() string {
	return fmt.Sprintf("%d ends, %d failed trials, epoch %d", len(r.Ends), len(r.Trials), r.Epoch)
}

// equal reports whether two records of the same request state the same.
func (r Record) equal(o Record) bool {
	return r.Epoch == o.Epoch && slices.Equal(r.Ends, o.Ends) && slices.Equal(r.Trials, o.Trials)
}

// Clear reports whether nothing speaks against the request.
func (r Record) Clear() bool { return len(r.Ends) == 0 && len(r.Trials) == 0 }

// Verdict returns what may be done with the request.
func (r Record) Verdict() Verdict {
	switch {
	case len(r.Trials) >= MaxTrials:
		return Quarantined{}
	case len(r.Ends) >= MaxEnds, len(r.Trials) > 0:
		return OnProbation{}
	default:
		return Allowed{Ends: len(r.Ends)}
	}
}

// Verdict is what may be done with a request: Allowed, OnProbation or Quarantined.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Allowed means that the request may run. Ends is the number of servers that have
// ended while running it, less than MaxEnds.
type Allowed struct{ Ends int }

// OnProbation means that the request may run once more, on one server alone, to
// show whether it does harm.
type OnProbation struct{}

// Quarantined means that the request must not run any more.
type Quarantined struct{}

func (Allowed) verdict()     {}
func (OnProbation) verdict() {}
func (Quarantined) verdict() {}

// united returns the union of two lists of ids in ascending order, of which only
// the lowest are kept.
func united(a, b []uint64, limit int) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), limit)]
}
