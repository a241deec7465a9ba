package commander

import (
	"context"
	"io"
	"time"

	"crocustack/crocusfake/internal/experimenter"
)

var overloadVerb = verb{
	name:    "overload",
	summary: "goodput at rising multiples of the capacity, both policies",
	description: `Offers each load for a time, with hard retries of the callers from above the
capacity on, and compares the rate of whole answers at the last load with the
peak. Exits non-zero when the Adaptive policy breaks a promise.`,
	create: func() command { return &overloadCommand{} },
}

type overloadCommand struct {
	experimentOptions
	loadOptions
	Loads []float64     `long:"load" default:"0.5" default:"0.8" default:"1" default:"2" default:"3" description:"load as a multiple of the capacity, repeatable"`
	Each  time.Duration `long:"each" default:"6s" description:"time for each load"`
}

func (c *overloadCommand) Run(ctx context.Context, out io.Writer) error {
	r, err := experimenter.Overload(ctx, c.demoConfig(c.experimentOptions), c.Loads, c.Each)
	return c.printResult(out, r.Head, r, err)
}
