package router

import "crocustack/core/resolver"

//go:generate stringer -type=Why -trimprefix=Why

// Upstream is one instance of a service.
type Upstream struct {
	Service, Address, Domain, Region string
	// Instance identifies the current run of the backend server. It is empty
	// when runs have no identifiers.
	Instance string
	// StartMillis distinguishes the runs of an instance that starts again under
	// its identifier: the start of the run in Unix milliseconds, or 0 if unknown.
	StartMillis int64
}

// Why is the rule by which an upstream was chosen.
type Why int

// The rules.
const (
	// WhyLocal: the upstream is in the node's own failure domain.
	WhyLocal Why = iota
	// WhySpill: every upstream of the node's own domain has too high a score
	// compared with the chosen one; see Config.SpillFactor.
	WhySpill
	// WhyNoLocal: the node's own domain has no usable upstream.
	WhyNoLocal
	// WhyHome: the upstream is the home of the request's key or ticket.
	WhyHome
	// WhyLastResort: only leaving upstreams are left, and this one may still
	// accept requests.
	WhyLastResort
	// WhyTrial: the request is on probation, and all nodes choose this upstream for
	// its trial.
	WhyTrial
)

// Decision is the result of selecting an upstream: Chosen or None.
//
//sumtype:decl
type Decision interface{ decision() }

// Chosen is the selected upstream. Score is the estimated cost of a request
// there; it is 0 for a home.
type Chosen struct {
	Upstream Upstream
	Why      Why
	Score    float64
}

// None reports that no upstream can be used.
type None struct {
	Reason resolver.Reason
}

func (Chosen) decision() {}
func (None) decision()   {}
