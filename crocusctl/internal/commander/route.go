package commander

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"crocustack/core/informer"
)

const routeUsage = `Asks nodes where a request would go now, and why, without sending it: the route, the class, what the node knows of the admission level of each service, the share of the requests that leaves the failure domain, and the upstreams that the node uses with their scores. A node chooses the one with the lower score of two random usable ones. Only nodes of the users' platform answer.

Example: crocusctl route --host shop.example --target /lookup/7?q=1 --organisation bakery --node 10.0.1.7:9464`

type routeCommand struct {
	OutputOptions
	NodeOptions
	Host         string `long:"host" required:"yes" description:"Host header of the request"`
	Target       string `long:"target" required:"yes" description:"Path and query of the request"`
	Organisation string `long:"organisation" description:"Name of the organisation on whose behalf it would come; keys are not taken"`
}

// NodeRoute is the answer of one node.
type NodeRoute struct {
	Node   string
	Answer informer.RouteAnswer
}

// RouteReport is the output of route.
type RouteReport struct {
	Nodes       []NodeRoute
	Unreachable []Unreachable `json:",omitempty"`
}

func (c *routeCommand) run(ctx context.Context, env *environment) error {
	addresses, err := c.addresses(ctx, env)
	if err != nil {
		return err
	}
	query := url.Values{"host": {c.Host}, "target": {c.Target}, "organisation": {c.Organisation}}
	good, bad := splitReplies(fetch[informer.RouteAnswer](ctx, env, c.NodeOptions, addresses, "/route?"+query.Encode()))
	report := RouteReport{Unreachable: bad}
	for _, g := range good {
		report.Nodes = append(report.Nodes, NodeRoute{Node: g.address, Answer: g.value})
	}
	if err := c.write(env, report, report.table); err != nil {
		return err
	}
	if len(bad) > 0 {
		return exitError{code: exitUnreachable}
	}
	return nil
}

func (r RouteReport) table(w io.Writer) {
	for _, n := range r.Nodes {
		a := n.Answer
		printf(w, "node %s, configuration %d: route %s, class %s, idempotent %t, refused %s\n", n.Node, a.Config, a.Route, a.Class, a.Idempotent, a.Refused)
		for _, s := range a.Services {
			printf(w, "service %s gets %s; level %d admits %s; %s leaves the domain\n", s.Service, percent(s.Share), s.Level, percent(s.Admitted), percent(s.Outbound))
			row(w, "UPSTREAM", "DOMAIN", "LOCAL", "USABLE", "SCORE", "LOAD", "FAILURES")
			for _, u := range s.Candidates {
				row(w, u.Address, u.Domain, u.Local, u.Usable, fmt.Sprintf("%.3f", u.Score), percent(u.Load), percent(u.Failures))
			}
		}
	}
	printUnreachable(w, r.Unreachable)
}

func percent(f float64) string { return fmt.Sprintf("%.0f%%", 100*f) }
