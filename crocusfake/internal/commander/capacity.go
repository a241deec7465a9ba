package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/meter"
)

var capacityVerb = verb{
	name:    "capacity",
	summary: "what a node costs: processor time, memory and bytes by size",
	description: `Measures real nodes at several sizes and fits a line through the measurements:
processor time and bytes for each request, memory for each link, request in
flight, gate record, instance and release item, and the cost of idle nodes.
Min, median and max are of the slopes of the single runs. The machine should be
idle; the load average before and after is printed. Takes about 4 minutes.`,
	create: func() command { return &capacityCommand{} },
}

type capacityCommand struct {
	experimentOptions
	Runs int      `long:"runs" default:"3" description:"runs of each measurement"`
	Only []string `long:"only" description:"one measurement: requests, requests-without-log, links, in-flight, records, instances, items or idle (repeatable; default all)"`
}

func (c *capacityCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := meter.Measure(ctx, c.commandLine(), meter.Options{Seed: c.Seed, Runs: c.Runs, Only: c.Only})
	return c.printResult(out, r.Head, r, err)
}
