package commander

import (
	"context"
)

const helpUsage = `Shows the usage of a verb, or the list of verbs.

Example: crocusctl help status`

type helpCommand struct {
	Args struct {
		Verb string `positional-arg-name:"VERB"`
	} `positional-args:"yes"`
}

func (c *helpCommand) run(_ context.Context, env *environment) error {
	p, _, err := newParser()
	if err != nil {
		return err
	}
	if c.Args.Verb != "" {
		p.Active = p.Find(c.Args.Verb)
		if p.Active == nil {
			return exitf(exitUsage, "unknown verb %q; run crocusctl help", c.Args.Verb)
		}
	}
	p.WriteHelp(env.stdout)
	return nil
}
