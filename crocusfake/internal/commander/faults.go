package commander

import (
	"context"
	"io"
	"time"

	"crocustack/crocusfake/internal/experimenter"
)

var faultsVerb = verb{
	name:    "faults",
	summary: "mixed load under a seeded schedule of faults, judged at the end",
	description: `Runs 8 to 16 nodes in two failure domains. The seed determines the size, the
load and the schedule: killed and frozen nodes, silent, closed and blocked
connections, slow and paused backend servers, platform outage and staleness, and
notes raced by two operators. Everything is healed before the end. Prints seed
and verdict; exits non-zero on a breach and keeps the nodes' logs then.`,
	create: func() command { return &faultsCommand{} },
}

type faultsCommand struct {
	experimentOptions
	Length time.Duration `long:"length" default:"30s" description:"time in which faults begin"`
}

func (c *faultsCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := experimenter.Faults(ctx, c.commandLine(), c.Seed, c.Length)
	return c.printResult(out, r.Head, r, err)
}
