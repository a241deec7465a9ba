package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"crocustack/core/informer"
)

const statusUsage = `Shows for each node which release note is in force and since when. A node is Behind when its highest note has a lower number than the highest one found, and Differs when its catalogue is another than that of most nodes with the highest note. Concurrent notes have the same number; both are in force, and the higher digest wins where they touch the same item. Missing notes were named as a predecessor and are not known to that node. Times are those of each node's own clock.

Example: crocusctl status --platform http://10.0.0.1:9000`

type statusCommand struct {
	OutputOptions
	NodeOptions
}

//go:generate stringer -type=nodeState -trimprefix=state

// nodeState is the state of a node's release relative to the other nodes.
type nodeState int

const (
	stateCurrent nodeState = iota
	stateBehind
	stateDiffers
)

// NodeStatus is one row of the output of status.
type NodeStatus struct {
	Node, Service, Domain string
	Note                  informer.Stamp
	Catalogue             informer.Digest
	Since                 time.Time
	State                 string
	// Behind is the number of notes by which the node lags.
	Behind           uint64
	Draining, Reader bool
}

// StatusReport is the output of status.
type StatusReport struct {
	// Note is the highest note found.
	Note        informer.Stamp
	Nodes       []NodeStatus
	Concurrent  []informer.Stamp `json:",omitempty"`
	Missing     []informer.Stamp `json:",omitempty"`
	Unreachable []Unreachable    `json:",omitempty"`
}

func (c *statusCommand) run(ctx context.Context, env *environment) error {
	addresses, err := c.addresses(ctx, env)
	if err != nil {
		return err
	}
	good, bad := splitReplies(fetch[informer.Status](ctx, env, c.NodeOptions, addresses, "/status"))
	report := newStatusReport(good)
	report.Unreachable = bad
	if err := c.write(env, report, report.table); err != nil {
		return err
	}
	current := 0
	for _, n := range report.Nodes {
		if n.State == stateCurrent.String() {
			current++
		}
	}
	switch {
	case len(bad) > 0:
		return exitError{code: exitUnreachable}
	case current < len(report.Nodes) || len(report.Concurrent) > 0 || len(report.Missing) > 0:
		return exitError{code: exitFindings}
	}
	return nil
}

func compareStamps(a, b informer.Stamp) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Digest, b.Digest))
}

// newStatusReport finds the highest note and compares each node's release with
// it.
func newStatusReport(replies []reply[informer.Status]) StatusReport {
	var r StatusReport
	for _, n := range replies {
		if compareStamps(n.value.Note, r.Note) > 0 {
			r.Note = n.value.Note
		}
		r.Concurrent = append(r.Concurrent, n.value.Concurrent...)
		r.Missing = append(r.Missing, n.value.Missing...)
	}
	catalogue := commonCatalogue(replies, r.Note)
	for _, n := range replies {
		s := n.value
		// A node that has received only one of two concurrent notes can't
		// report the conflict.
		if s.Note.Number == r.Note.Number && s.Note != r.Note {
			r.Concurrent = append(r.Concurrent, s.Note, r.Note)
		}
		state, behind := stateCurrent, uint64(0)
		switch {
		case s.Note.Number < r.Note.Number:
			state, behind = stateBehind, r.Note.Number-s.Note.Number
		case s.Note != r.Note || s.Catalogue != catalogue:
			state = stateDiffers
		}
		r.Nodes = append(r.Nodes, NodeStatus{
			Node: n.address, Service: s.Service, Domain: s.Domain, Note: s.Note, Catalogue: s.Catalogue,
			Since: s.Since, State: state.String(), Behind: behind, Draining: s.Draining, Reader: s.Reader,
		})
	}
	for _, l := range []*[]informer.Stamp{&r.Concurrent, &r.Missing} {
		slices.SortFunc(*l, compareStamps)
		*l = slices.Compact(*l)
	}
	return r
}

// commonCatalogue returns the most frequent catalogue digest among the nodes
// with the note. Ties go to the lower digest.
func commonCatalogue(replies []reply[informer.Status], note informer.Stamp) informer.Digest {
	count := make(map[informer.Digest]int)
	var best informer.Digest
	for _, n := range replies {
		if d := n.value.Catalogue; n.value.Note == note {
			count[d]++
			if c := cmp.Compare(count[d], count[best]); c > 0 || (c == 0 && d < best) {
				best = d
			}
		}
	}
	return best
}

func (r StatusReport) table(w io.Writer) {
	row(w, "NODE", "SERVICE", "DOMAIN", "NOTE", "DIGEST", "CATALOGUE", "SINCE", "STATE", "ROLE")
	current := 0
	for _, n := range r.Nodes {
		state := n.State
		switch state {
		case stateBehind.String():
			state = fmt.Sprintf("%s by %d", state, n.Behind)
		case stateCurrent.String():
			current++
		}
		role := ""
		if n.Reader {
			role = "reader"
		}
		if n.Draining {
			role = "draining"
		}
		row(w, n.Node, n.Service, n.Domain, n.Note.Number, n.Note.Digest, n.Catalogue, n.Since.UTC().Format(time.RFC3339), state, role)
	}
	if len(r.Nodes) == 0 {
		printf(w, "no node answered\n")
		printUnreachable(w, r.Unreachable)
		return
	}
	printf(w, "note %d %s is in force on %d of %d nodes\n", r.Note.Number, r.Note.Digest, current, len(r.Nodes)+len(r.Unreachable))
	for _, s := range r.Concurrent {
		printf(w, "concurrent note: %d %s\n", s.Number, s.Digest)
	}
	for _, s := range r.Missing {
		printf(w, "missing note: %d %s\n", s.Number, s.Digest)
	}
	printUnreachable(w, r.Unreachable)
}
