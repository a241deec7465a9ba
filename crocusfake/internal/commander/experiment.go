package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/experimenter"
)

// result is the result of an experiment.
type result interface {
	Table() [][]string
	Breaches() int
}

// experimentOptions are common to the experiments.
type experimentOptions struct {
	Seed   uint64 `long:"seed" default:"1" description:"seed of arrivals, service times and schedules"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

func (experimentOptions) commandLine() string {
	return "crocusfake " + strings.Join(os.Args[1:], " ")
}

// printResult prints the result, even if it is incomplete because of err. It
// returns err, or an error if the result contains breaches.
func (o experimentOptions) printResult(out io.Writer, head experimenter.Head, r result, err error) error {
	if o.Output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "print result")
		}
	} else {
		_, _ = fmt.Fprintf(out, "command: %s\nseed: %d\n", head.Command, head.Seed)
		for _, k := range slices.Sorted(maps.Keys(head.Parameters)) {
			_, _ = fmt.Fprintf(out, "%s: %s\n", k, head.Parameters[k])
		}
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, row := range r.Table() {
			_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		_ = t.Flush()
	}
	if err == nil && r.Breaches() > 0 {
		return errors.Newf("%d breaches with seed %d", r.Breaches(), o.Seed)
	}
	return err
}
