package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/experimenter"
)

var drainVerb = verb{
	name:    "drain",
	summary: "let instances leave under load in three ways",
	description: `Under load, one node gets SIGTERM, one backend server reports that it drains,
and one instance is listed as leaving by the platform. Exits non-zero when new
work begins at a leaving backend server after 2 s, a run or request in flight
is interrupted, or a promise is broken.`,
	create: func() command { return &drainCommand{} },
}

type drainCommand struct{ experimentOptions }

func (c *drainCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := experimenter.Drain(ctx, c.commandLine(), c.Seed)
	return c.printResult(out, r.Head, r, err)
}
