package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/experimenter"
)

var demoVerb = verb{
	name:    "demo",
	summary: "compare both policies through slow-down, surge, retries and recovery",
	description: `Runs the Kwitariusz mesh with 2 upstreams for each service: load below the
capacity, then a slow-down of the deep service, then a surge with hard retries
on top, then the first load again. Prints one table with a column for each
policy. Takes about 80 s. Exits non-zero when the Adaptive policy breaks a
promise.`,
	create: func() command { return &demoCommand{} },
}

type demoCommand struct {
	experimentOptions
	loadOptions
	Base  float64 `long:"base" default:"0.5" description:"load before and after, as a multiple of the capacity"`
	Surge float64 `long:"surge" default:"3" description:"load during the surge, as a multiple of the capacity"`
	Slow  float64 `long:"slow" default:"2" description:"factor of the slow-down"`
}

// loadOptions are common to the experiments that compare policies.
type loadOptions struct {
	Retries  int      `long:"retries" default:"3" description:"repeats of callers under overload"`
	Policies []string `long:"policy" choice:"Adaptive" choice:"PassThrough" description:"policy to run, repeatable; default both"`
	Keep     bool     `long:"keep" description:"keep settings and logs of the nodes and print where"`
}

func (o loadOptions) demoConfig(e experimentOptions) experimenter.DemoConfig {
	policies := o.Policies
	if len(policies) == 0 {
		policies = experimenter.Policies
	}
	return experimenter.DemoConfig{Command: e.commandLine(), Seed: e.Seed, PerService: 2, Retries: o.Retries, Policies: policies, Keep: o.Keep}
}

func (c *demoCommand) Run(ctx context.Context, out io.Writer) error {
	cfg := c.demoConfig(c.experimentOptions)
	cfg.Base, cfg.Surge, cfg.Slow = c.Base, c.Surge, c.Slow
	r, err := experimenter.Demo(ctx, cfg)
	return c.printResult(out, r.Head, r, err)
}
