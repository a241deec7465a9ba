package dispatcher

import (
	"strings"
	"time"

	"crocustack/core/admitter"
	"crocustack/core/connector"
	"crocustack/core/informer"
	"crocustack/core/resolver"
)

// Upstreams tells what a node knows of the upstreams of services.
type Upstreams interface {
	Explain(now time.Duration, service string) ([]informer.Candidate, float64)
}

// Explain returns where a request would go now, and why, without sending it. It takes no
// token of a rate limit and no turn of a route with several services.
func (d *Dispatcher) Explain(now time.Duration, q informer.RouteQuery, upstreams Upstreams, levels *admitter.Levels) informer.RouteAnswer {
	r := d.routing.Load()
	if r == nil {
		return informer.RouteAnswer{Refused: resolver.ReasonNotReady.String()}
	}
	a := informer.RouteAnswer{Config: r.config.Version, Refused: resolver.ReasonNone.String()}
	path, _, _ := strings.Cut(q.Target, "?")
	route, ok := r.table.Find(q.Host, path)
	switch {
	case !ok:
		a.Refused = resolver.ReasonUnknownKind.String()
		return a
	case r.organisations != nil && !route.Open && r.organisations.Named(q.Organisation) == nil:
		a.Refused = resolver.ReasonUnknownKey.String()
	case d.leaving.Load():
		a.Refused = resolver.ReasonDraining.String()
	}
	a.Route, a.Idempotent = route.Name, route.Idempotent
	total := 0.0
	for _, s := range route.Shares {
		total += s.Weight
	}
	for _, s := range route.Shares {
		class := d.classOf(r, route, s.Service, q.Organisation)
		a.Class = class.String()
		level := levels.Effective(now, s.Service, route.Name)
		way := informer.ServiceRoute{Service: s.Service, Share: s.Weight / total, Level: level, Admitted: admitter.PassingShare(class, level)}
		way.Candidates, way.Outbound = upstreams.Explain(now, s.Service)
		a.Services = append(a.Services, way)
	}
	return a
}

var _ connector.Dispatcher = (*Dispatcher)(nil)
