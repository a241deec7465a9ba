package dispatcher

import (
	"crocustack/core/authenticator"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/tracer"
)

// Identify implements connector.Dispatcher. It records the refusals.
func (d *Dispatcher) Identify(in connector.Inbound) (connector.Identity, resolver.Reason) {
	id, reason := d.identify(in)
	if reason != resolver.ReasonNone {
		d.record(forwarder.Request{ID: in.ID, Outbound: in.Parent != ""}, in, forwarder.Result{Outcome: resolver.NotRun{Reason: reason}})
	}
	return id, reason
}

// identify decides on whose behalf a request comes. A call of the backend server needs no
// key: it belongs to the request that it is made for, which had one.
func (d *Dispatcher) identify(in connector.Inbound) (connector.Identity, resolver.Reason) {
	r := d.routing.Load()
	if r == nil {
		return connector.Identity{}, resolver.ReasonNotReady
	}
	route, ok := r.table.Find(in.Host, in.Path)
	switch {
	case !ok:
		return connector.Identity{}, resolver.ReasonUnknownKind
	case r.organisations == nil:
		return connector.Identity{}, resolver.ReasonNone
	}
	anonymous := connector.Identity{Keyed: true}
	if in.Key == "" && in.Parent != "" {
		if _, ok := d.runs.Find(in.Parent, "").(tracer.Matched); ok || route.Open {
			return anonymous, resolver.ReasonNone
		}
		// The run may be one that this process, started since, does not know.
		return anonymous, resolver.ReasonKeysUnproven
	}
	proven := d.keys.Proven(r.config.Version)
	organisation := r.organisations.Find(in.Key)
	switch {
	case organisation != nil && proven:
		return connector.Identity{Keyed: true, Organisation: organisation.Name}, resolver.ReasonNone
	case route.Open:
		return anonymous, resolver.ReasonNone
	case !proven:
		return anonymous, resolver.ReasonKeysUnproven
	default:
		return anonymous, resolver.ReasonUnknownKey
	}
}

// classOf returns the class of a request on behalf of an organisation, or of none.
func (d *Dispatcher) classOf(r *routing, route connector.Route, service, organisation string) classifier.Class {
	class := kindOf(route, service).Class
	if r.organisations == nil {
		return class
	}
	return classFor(class, r.organisations.Standing(r.organisations.Named(organisation)))
}

// classFor returns the class of a request: the rank of the organisation goes before
// that of the route.
func classFor(c classifier.Class, s authenticator.Standing) classifier.Class {
	switch s {
	case authenticator.StandingAbove:
		return classifier.ClassCritical
	case authenticator.StandingBelow:
		return classifier.ClassBulk
	default:
		return c
	}
}
