package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/soaker"
)

var soakVerb = verb{
	name:    "soak",
	summary: "nodes of the users' platform under random faults, judged by clients and backend servers",
	description: `Runs real nodes as processes on loopback addresses (127.0.88.0/24), with
stand-ins for store, backend servers and clients, and injects faults from outside:
processes killed, stopped, paused and hung up; links delayed, silenced, blocked
one way or both, and closed; a store that is down, slow, forgets or can't be
reached by some, or comes back from a copy; configurations, drains, replaced
backend servers, some that limit themselves, and lost answers; beside requests
that end the backend servers that run them. Runs one seed
after the other; exits non-zero on a breach and keeps settings and logs of that
seed then.`,
	create: func() command { return &soakCommand{} },
}

type soakCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Basic    bool          `long:"basic" description:"only the faults that the first seeds were drawn from"`
	Other    string        `long:"other" description:"path of another version of crocusd, which every second machine runs"`
	Machines int           `long:"machines" default:"6" description:"number of machines"`
	Length   time.Duration `long:"length" default:"15s" description:"time in which faults begin"`
	Rate     int           `long:"rate" default:"60" description:"requests a second"`
}

func (c *soakCommand) Run(ctx context.Context, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own binary")
	}
	breaches := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		r, err := soaker.Run(ctx, soaker.Config{
			Binary: filepath.Join(filepath.Dir(self), "crocusd"), OtherBinary: c.Other, Seed: seed, Basic: c.Basic, Machines: c.Machines, Length: c.Length, Rate: c.Rate,
		}, out)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d of %d requests served, %.3f after the last fault, %d breaches\n",
			r.Seed, r.Faults, r.Served, r.Requests, r.RecoveredShare, len(r.Breaches))
		for _, b := range r.Breaches {
			_, _ = fmt.Fprintln(out, "  breach:", b)
		}
		if len(r.Breaches) > 0 {
			_, _ = fmt.Fprintln(out, "  logs:", r.Logs)
		}
		breaches += len(r.Breaches)
	}
	if breaches > 0 {
		return errors.Newf("%d breaches", breaches)
	}
	return nil
}
