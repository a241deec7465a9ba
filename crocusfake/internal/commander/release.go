package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/experimenter"
)

var releaseVerb = verb{
	name:    "release",
	summary: "time until a note is in force on all nodes",
	description: `Publishes notes, first with the platform up, then with one of two domains cut
from it, and measures the time from each publication until GET /status of every
node shows the note.`,
	create: func() command { return &releaseCommand{} },
}

type releaseCommand struct {
	experimentOptions
	PerService int `long:"per-service" default:"3" description:"nodes for each of the 4 services"`
	Rounds     int `long:"rounds" default:"10" description:"notes for each case"`
}

func (c *releaseCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := experimenter.Release(ctx, c.commandLine(), c.Seed, c.PerService, c.Rounds)
	return c.printResult(out, r.Head, r, err)
}
