// Package router scratch.
package router

import (
	"sync"
	"time"

	"crocustack/core/resolver"
)

type Upstream struct{ Service, Address, Domain, Region string }
type Decision interface{ decision() }
type Chosen struct {
	Upstream Upstream
	Why      string
	Score    float64
}
type None struct{ Reason resolver.Reason }

func (Chosen) decision() {}
func (None) decision()   {}

type Config struct{}
type Load struct{ InFlight, Queued, Limit int }
type Result struct {
	Latency         time.Duration
	Failed, Refused bool
	Load            Load
}
type Router struct {
	mu sync.Mutex
	m  map[string][]Upstream
}

func New(cfg Config, domain, region string, seed uint64) *Router {
	return &Router{m: map[string][]Upstream{}}
}
func (r *Router) SetUpstreams(now time.Duration, service string, us []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m[service] = us
}
func (r *Router) MarkLeaving(now time.Duration, address string) {}
func (r *Router) Pick(now time.Duration, service string, exclude []string, draw uint64) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var us []Upstream
next:
	for _, u := range r.m[service] {
		for _, e := range exclude {
			if e == u.Address {
				continue next
			}
		}
		us = append(us, u)
	}
	if len(us) == 0 {
		return None{resolver.ReasonNoUpstream}
	}
	return Chosen{Upstream: us[draw%uint64(len(us))], Why: "random"}
}
func (r *Router) Home(service, key string) Decision {
	return r.Pick(0, service, nil, 0)
}
func (r *Router) Start(now time.Duration, service, address string)              {}
func (r *Router) Finish(now time.Duration, service, address string, res Result) {}
