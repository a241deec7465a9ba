package router

import "crocustack/core/resolver"

//go:generate stringer -type=Why -trimprefix=Why

// Upstream is one instance of a service.
type Upstream struct {
	Service, Address, Domain, Region string
	// Instance is the id of the backend server's present run; empty when runs
	// have no ids.
	Instance string
}

// Why says by which rule an upstream was chosen.
type Why int

// The rules.
const (
	// WhyLocal: the upstream is in the node's own failure domain.
	WhyLocal Why = iota
	// WhySpill: the upstreams of the own domain cost too much.
	WhySpill
	// WhyNoLocal: the own domain has no usable upstream.
	WhyNoLocal
	// WhyHome: the upstream is the home of the key.
	WhyHome
	// WhyLastResort: all upstreams are leaving; this one may still take work.
	WhyLastResort
)

// Decision is where an attempt goes: Chosen or None.
//
//sumtype:decl
type Decision interface{ decision() }

// Chosen names the upstream. A lower score is better; Score is 0 for a home.
type Chosen struct {
	Upstream Upstream
	Why      Why
	Score    float64
}

// None says that no upstream can be used.
type None struct {
	Reason resolver.Reason
}

func (Chosen) decision() {}
func (None) decision()   {}
