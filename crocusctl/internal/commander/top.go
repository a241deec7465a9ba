package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"crocustack/core/informer"
)

const topUsage = `Shows for each node the load and limit of its gate, the admission level, and rates over one interval: goodput (requests of its callers that ran and were answered in full) and sheds (requests that its gate dropped because of load). With --watch it repeats until it is interrupted.

Example: crocusctl top --watch --interval 2s --node 10.0.1.7:7103`

type topCommand struct {
	OutputOptions
	NodeOptions
	Watch    bool          `long:"watch" description:"Repeat until interrupted"`
	Interval time.Duration `long:"interval" default:"1s" description:"Interval that rates are taken over"`
}

// NodeLoad is one row of the output of top. Rates are per second.
type NodeLoad struct {
	Node, Service                  string
	InFlight, Queued, Limit, Slots int
	Level                          uint32
	Goodput, Sheds                 float64
	Draining                       bool
	// RateLimit is the rate limit that the backend server states, in requests a
	// second, or 0 for none.
	RateLimit float64 `json:",omitempty"`
}

// state describes what is unusual about the node, for the table.
func (n NodeLoad) state() string {
	var parts []string
	if n.Draining {
		parts = append(parts, "draining")
	}
	if n.RateLimit > 0 {
		parts = append(parts, fmt.Sprintf("server limits itself to %g/s", n.RateLimit))
	}
	return strings.Join(parts, ", ")
}

// TopReport is the output of top.
type TopReport struct {
	Nodes       []NodeLoad
	Unreachable []Unreachable `json:",omitempty"`
}

// nodeMetrics is the reply of GET /metrics. Only counters are used; other
// metrics may have no count.
type nodeMetrics map[string]struct {
	Count float64 `json:"count"`
}

// sumCounters returns the sum of the counters whose name begins with the
// prefix.
func (m nodeMetrics) sumCounters(prefix string) float64 {
	total := 0.0
	for name, v := range m {
		if strings.HasPrefix(name, prefix) {
			total += v.Count
		}
	}
	return total
}

// rate returns the increase of a counter per second. A counter that decreased
// was reset to 0 by a restart of the node.
func rate(before, after float64, d time.Duration) float64 {
	if after < before {
		before = 0
	}
	return (after - before) / d.Seconds()
}

func (c *topCommand) run(ctx context.Context, env *environment) error {
	if c.Interval <= 0 {
		return exitf(exitUsage, "--interval must be above 0")
	}
	addresses, err := c.addresses(ctx, env)
	if err != nil {
		return err
	}
	before := c.metrics(ctx, env, addresses)
	at := env.now()
	for {
		if err := env.sleep(ctx, c.Interval); err != nil {
			return nil // An interrupt is the normal end of --watch.
		}
		after, now := c.metrics(ctx, env, addresses), env.now()
		report := c.report(ctx, env, addresses, before, after, now.Sub(at))
		if err := c.write(env, report, report.table); err != nil {
			return err
		}
		if !c.Watch {
			if len(report.Unreachable) > 0 {
				return exitError{code: exitUnreachable}
			}
			return nil
		}
		before, at = after, now
	}
}

// metrics returns the metrics of the nodes that answered, by address.
func (c *topCommand) metrics(ctx context.Context, env *environment, addresses []string) map[string]nodeMetrics {
	out := make(map[string]nodeMetrics)
	for _, r := range fetch[nodeMetrics](ctx, env, c.NodeOptions, addresses, "/metrics") {
		if r.err == nil {
			out[r.address] = r.value
		}
	}
	return out
}

func (c *topCommand) report(ctx context.Context, env *environment, addresses []string, before, after map[string]nodeMetrics, d time.Duration) TopReport {
	good, bad := splitReplies(fetch[informer.Status](ctx, env, c.NodeOptions, addresses, "/status"))
	r := TopReport{Unreachable: bad}
	for _, n := range good {
		s, b, a := n.value, before[n.address], after[n.address]
		r.Nodes = append(r.Nodes, NodeLoad{
			Node: n.address, Service: s.Service, InFlight: s.Limits.InFlight, Queued: s.Limits.Queued,
			Limit: s.Limits.Limit, Slots: s.Limits.Slots, Level: s.Limits.Level, Draining: s.Draining,
			RateLimit: s.Limits.RateLimit,
			Goodput:   rate(b.sumCounters("Answers.Ran."), a.sumCounters("Answers.Ran."), d),
			Sheds:     rate(b.sumCounters("Decisions.Shed."), a.sumCounters("Decisions.Shed."), d),
		})
	}
	return r
}

func (r TopReport) table(w io.Writer) {
	row(w, "NODE", "SERVICE", "RUNNING", "QUEUED", "LIMIT", "SLOTS", "LEVEL", "GOODPUT/S", "SHEDS/S", "STATE")
	for _, n := range r.Nodes {
		row(w, n.Node, n.Service, n.InFlight, n.Queued, n.Limit, n.Slots, n.Level,
			fmt.Sprintf("%.1f", n.Goodput), fmt.Sprintf("%.1f", n.Sheds), n.state())
	}
	printUnreachable(w, r.Unreachable)
}
