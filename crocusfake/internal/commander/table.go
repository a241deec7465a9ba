package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// command is a verb with its parsed options.
type command interface {
	Run(ctx context.Context, out io.Writer) error
}

type verb struct {
	name, summary, description string
	// create returns a new command for the verb.
	create func() command
}

// verbs returns the verbs in the order in which help lists them.
func verbs() []verb {
	return []verb{
		platformVerb, backendVerb, loadVerb,
		demoVerb, overloadVerb, hopVerb, drainVerb, releaseVerb, faultsVerb, soakVerb, doorVerb, capacityVerb,
	}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		if len(args) > 1 {
			return printHelp(args[1], out, errOut)
		}
		printUsage(out)
		return 0
	}
	v, ok := findVerb(args[0])
	if !ok {
		_, _ = fmt.Fprintf(errOut, "crocusfake: no verb %q; \"crocusfake help\" lists them\n", args[0])
		return 2
	}
	c := v.create()
	rest, err := newParser(v, c).ParseArgs(args[1:])
	if err == nil && len(rest) > 0 {
		err = errors.Newf("unexpected argument %q", rest[0])
	}
	if err != nil {
		if flags.WroteHelp(err) {
			return printHelp(v.name, out, errOut)
		}
		_, _ = fmt.Fprintf(errOut, "crocusfake %s: %v\n\"crocusfake help %s\" shows the options\n", v.name, err, v.name)
		return 2
	}
	if err := c.Run(ctx, out); err != nil {
		_, _ = fmt.Fprintf(errOut, "crocusfake %s: %v\n", v.name, err)
		return 1
	}
	return 0
}

func findVerb(name string) (verb, bool) {
	for _, v := range verbs() {
		if v.name == name {
			return v, true
		}
	}
	return verb{}, false
}

func newParser(v verb, c command) *flags.Parser {
	p := flags.NewNamedParser("crocusfake "+v.name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", c); err != nil {
		// AddGroup fails only on malformed struct tags in this package.
		panic(err)
	}
	return p
}

func printHelp(name string, out, errOut io.Writer) int {
	v, ok := findVerb(name)
	if !ok {
		_, _ = fmt.Fprintf(errOut, "crocusfake: no verb %q\n", name)
		return 2
	}
	// The description is printed here because go-flags would rewrap it.
	_, _ = fmt.Fprintf(out, "%s: %s\n\n%s\n\n", v.name, v.summary, v.description)
	newParser(v, v.create()).WriteHelp(out)
	return 0
}

func printUsage(out io.Writer) {
	var b strings.Builder
	b.WriteString("crocusfake runs stand-ins for the platform, backend servers and callers,\nand experiments with real nodes.\n\nUsage: crocusfake VERB [options]\n       crocusfake help VERB\n\n")
	for _, v := range verbs() {
		fmt.Fprintf(&b, "  %-9s %s\n", v.name, v.summary)
	}
	_, _ = io.WriteString(out, b.String())
}
