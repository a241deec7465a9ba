package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/misbehaver"
	"crocustack/crocusfake/internal/soaker"
)

var doorVerb = verb{
	name:    "door",
	summary: "crowds of clients that misbehave, beside ordinary requests",
	description: `Runs three real nodes on loopback addresses (127.0.88.0/24). Crowds of clients
misbehave at the first one, one kind after another and then all at once: they hold back
the ends of bodies, send bodies far over the limit, very many header fields, requests
ahead without reading the answers, heads that trickle in, read long answers slowly, or
stop half-way; at paths with and without a route and at the readiness address. The node
has the settings of a machine of 184 MB and 4,100 descriptors. Exits non-zero when
ordinary requests (300 a second) are not served or take over twice as long, when the
node uses over 80% of its memory, ends, or does not answer readiness checks.`,
	create: func() command { return &doorCommand{} },
}

type doorCommand struct {
	Seed   uint64        `long:"seed" default:"1" description:"seed"`
	Length time.Duration `long:"length" default:"10s" description:"time for each crowd"`

	WithoutP99 bool `long:"without-p99" description:"leave out the check of the 99th percentile"`
}

func (c *doorCommand) Run(ctx context.Context, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own binary")
	}
	var kinds []misbehaver.Kind
	for k := range misbehaver.NumKinds {
		kinds = append(kinds, misbehaver.Kind(k))
	}
	breaches, err := soaker.Door(ctx, soaker.DoorConfig{
		Binary: filepath.Join(filepath.Dir(self), "crocusd"), Seed: c.Seed, Length: c.Length, Kinds: kinds, WithoutP99: c.WithoutP99,
	}, out)
	if err != nil {
		return err
	}
	for _, b := range breaches {
		_, _ = fmt.Fprintln(out, "  breach:", b)
	}
	if len(breaches) > 0 {
		return errors.Newf("%d breaches", len(breaches))
	}
	return nil
}
