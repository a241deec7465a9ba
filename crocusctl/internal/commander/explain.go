package commander

import (
	"context"
	"io"
	"net/url"
	"slices"

	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

const explainUsage = `Collects the decisions about one request from the nodes and shows why it was routed, shed or refused. REQUEST-ID is the value of the response header Crocus-Request. Nodes keep a limited number of recent decisions; older ones are in their logs, which --log reads. With --log, calls made for the request are shown too where their ids begin with its own. Lines are ordered by the clock of the node that wrote them, and clocks of nodes can differ.

Example: crocusctl explain 4bf92f3577b34da6 --node 10.0.1.7:7103 --node 10.0.1.8:7103`

type explainCommand struct {
	OutputOptions
	NodeOptions
	Logs []string `long:"log" value-name:"FILE" description:"Read decision lines (JSON) from a log in place of the nodes, - for the standard input; repeat it for several"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"yes"`
	} `positional-args:"yes"`
}

// NodeDecision is a decision and the node that made it.
type NodeDecision struct {
	Node     string
	Decision recorder.Decision
}

// Explanation is the output of explain.
type Explanation struct {
	Request string
	// Outcome is the outcome reported to the caller. It is empty when no node
	// has a record of the answer.
	Outcome     string         `json:",omitempty"`
	Decisions   []NodeDecision `json:",omitempty"`
	Reasons     []Advice       `json:",omitempty"`
	Unreachable []Unreachable  `json:",omitempty"`
}

func (c *explainCommand) run(ctx context.Context, env *environment) error {
	if len(c.Logs) > 0 {
		return c.runLogs(env)
	}
	addresses, err := c.addresses(ctx, env)
	if err != nil {
		return err
	}
	path := "/decisions?request=" + url.QueryEscape(c.Args.RequestID)
	good, bad := splitReplies(fetch[[]recorder.Decision](ctx, env, c.NodeOptions, addresses, path))
	e := newExplanation(c.Args.RequestID, good)
	e.Unreachable = bad
	if err := c.write(env, e, e.table); err != nil {
		return err
	}
	switch {
	case len(bad) > 0:
		return exitError{code: exitUnreachable}
	case len(e.Decisions) == 0:
		return exitError{code: exitFindings}
	}
	return nil
}

// runLogs explains a request from the logs of the nodes.
func (c *explainCommand) runLogs(env *environment) error {
	ds, err := readLogs(env, c.Logs, c.Args.RequestID)
	if err != nil {
		return exitf(exitUnreachable, "log: %v", err)
	}
	e := explanationOf(c.Args.RequestID, ds)
	if err := c.write(env, e, e.table); err != nil {
		return err
	}
	if len(e.Decisions) == 0 {
		return exitError{code: exitFindings}
	}
	return nil
}

// newExplanation returns the explanation for the decisions of all replies.
func newExplanation(id string, replies []reply[[]recorder.Decision]) Explanation {
	var ds []NodeDecision
	for _, r := range replies {
		for _, d := range r.value {
			ds = append(ds, NodeDecision{r.address, d})
		}
		// Nodes send the newest first; the stable sort below keeps the order of
		// decisions with the same time.
		slices.Reverse(ds[len(ds)-len(r.value):])
	}
	slices.SortStableFunc(ds, func(a, b NodeDecision) int {
		return a.Decision.Time.Compare(b.Decision.Time)
	})
	return explanationOf(id, ds)
}

// explanationOf returns the explanation for decisions sorted by time.
func explanationOf(id string, ds []NodeDecision) Explanation {
	e := Explanation{Request: id, Decisions: ds}
	var reasons []resolver.Reason
	for _, d := range e.Decisions {
		if d.Decision.Kind == recorder.KindAnswer && d.Decision.RequestID == id {
			e.Outcome = recorder.OutcomeName(d.Decision.Outcome)
		}
		if r := d.Decision.Reason; r != resolver.ReasonNone && !slices.Contains(reasons, r) {
			reasons = append(reasons, r)
			e.Reasons = append(e.Reasons, AdviceFor(r))
		}
	}
	return e
}

func (e Explanation) table(w io.Writer) {
	if len(e.Decisions) > 0 {
		row(w, "TIME", "NODE", "DECISION", "SERVICE", "KIND", "CLASS", "UPSTREAM", "OUTCOME", "REASON", "DETAIL")
		for _, n := range e.Decisions {
			d := n.Decision
			row(w, d.Time.UTC().Format("15:04:05.000000"), n.Node, d.Kind, d.Service, d.KindName, d.Class,
				d.Upstream, recorder.OutcomeName(d.Outcome), d.Reason, d.Detail)
		}
	}
	switch {
	case len(e.Decisions) == 0:
		printf(w, "request %s: no node holds a decision about it\n", e.Request)
	case e.Outcome == "":
		printf(w, "request %s: no answer recorded\n", e.Request)
	default:
		printf(w, "request %s: %s\n", e.Request, e.Outcome)
	}
	for _, a := range e.Reasons {
		printf(w, "%s: %s %s\n", a.Reason, a.Meaning, a.Action)
	}
	printUnreachable(w, e.Unreachable)
}
