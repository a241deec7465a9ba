package commander

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/publisher"
)

var platformVerb = verb{
	name:    "platform",
	summary: "run a stand-in for the platform's configuration service",
	description: `Serves GET /v1/keys/<key> with versions, long-poll watches and a rate limit.
Switches while it runs (POST unless said otherwise):
  /control/down/{true|false}   end every call without an answer
  /control/stale/{N}           serve each key as it was N versions ago
  /control/fresh               end stale
  /control/slow/{duration}     delay every answer
  PUT /control/keys/<key>      add a version of a key
  /control/instances           change instances (YAML list as in instances/<domain>)
  GET /control/counts          calls so far`,
	create: func() command { return &platformCommand{} },
}

type platformCommand struct {
	Listen    string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Release   string        `long:"release" description:"file with the value of release/current"`
	Instances string        `long:"instances" description:"YAML list of instances of all domains"`
	Rate      float64       `long:"rate" default:"2000" description:"calls per second over all readers"`
	Lag       time.Duration `long:"lag" default:"0s" description:"time until a changed instance shows in the lists"`
}

func (c *platformCommand) Run(ctx context.Context, out io.Writer) error {
	p := publisher.New(publisher.Config{Rate: c.Rate, Lag: c.Lag})
	if c.Release != "" {
		b, err := os.ReadFile(c.Release)
		if err != nil {
			return errors.Wrap(err, "read release")
		}
		if err := p.Put("release/current", b); err != nil {
			return err
		}
	}
	if c.Instances != "" {
		var ins []publisher.Instance
		if err := readYAML(c.Instances, &ins); err != nil {
			return err
		}
		if err := p.SetInstances(ins...); err != nil {
			return err
		}
	}
	return serve(ctx, out, c.Listen, p.Handler())
}
