package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/experimenter"
)

var hopVerb = verb{
	name:    "hop",
	summary: "latency that one hop adds, against direct calls in the same run",
	description: `Sends requests through two nodes to a backend server without service time, and
directly to the same backend server, alternately and one at a time. "added" is
the difference of the quantiles.`,
	create: func() command { return &hopCommand{} },
}

type hopCommand struct {
	experimentOptions
	Requests int `long:"requests" default:"10000" description:"requests for each way"`
}

func (c *hopCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := experimenter.Hop(ctx, c.commandLine(), c.Seed, c.Requests)
	return c.printResult(out, r.Head, r, err)
}
