package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes, also listed in every help text.
const (
	exitOK = iota
	exitFindings
	exitUsage
	exitUnreachable
)

const exitCodes = "Exit codes: 0 ok, 1 findings, differences or lag, 2 usage, 3 a node or the platform is unreachable."

// environment holds the streams, the HTTP client and the clock that verbs use.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	client         *http.Client
	now            func() time.Time
	// sleep returns early with an error when the context is done.
	sleep func(context.Context, time.Duration) error
}

// command is the action of a verb with its parsed flags.
type command interface {
	run(ctx context.Context, env *environment) error
}

// verb is one entry of the table of verbs.
type verb struct {
	name, summary, usage string
	command              command
}

// verbs returns the table of verbs, with zero values for their flags.
func verbs() []verb {
	return []verb{
		{"check", "report everything that is wrong with files", checkUsage, &checkCommand{}},
		{"diff", "show what differs between two releases", diffUsage, &diffCommand{}},
		{"render", "write the release document for a note", renderUsage, &renderCommand{}},
		{"status", "show which note is in force on which node", statusUsage, &statusCommand{}},
		{"route", "show where a request would go now, and why, without sending it", routeUsage, &routeCommand{}},
		{"explain", "show why a request was routed, shed or refused", explainUsage, &explainCommand{}},
		{"top", "show load, limits, goodput and sheds of nodes", topUsage, &topCommand{}},
		{"drain", "ask a node to drain", drainUsage, &drainCommand{}},
		{"help", "show the usage of a verb", helpUsage, &helpCommand{}},
	}
}

// exitError ends a verb with an exit code. Its message is written to stderr.
type exitError struct {
	code    int
	message string
}

func (e exitError) Error() string { return e.message }

func exitf(code int, format string, args ...any) error {
	return exitError{code, fmt.Sprintf(format, args...)}
}

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return run(ctx, &environment{
		stdin:  os.Stdin,
		stdout: stdout, stderr: stderr, client: &http.Client{}, now: time.Now,
		sleep: func(ctx context.Context, d time.Duration) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(d):
				return nil
			}
		},
	}, args)
}

func newParser() (*flags.Parser, map[string]command, error) {
	p := flags.NewNamedParser("crocusctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Client for the operators of crocustack. " + exitCodes
	commands := make(map[string]command)
	for _, v := range verbs() {
		if _, err := p.AddCommand(v.name, v.summary, v.usage+"\n\n"+exitCodes, v.command); err != nil {
			return nil, nil, errors.Wrapf(err, "verb %s", v.name)
		}
		commands[v.name] = v.command
	}
	return p, commands, nil
}

func run(ctx context.Context, env *environment, args []string) int {
	p, commands, err := newParser()
	if err == nil {
		var rest []string
		if rest, err = p.ParseArgs(args); err == nil {
			if len(rest) > 0 {
				err = exitf(exitUsage, "unexpected argument %q", rest[0])
			} else {
				err = commands[p.Active.Name].run(ctx, env)
			}
		}
	}
	var fe *flags.Error
	var ee exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		printf(env.stdout, "%s\n", fe.Message)
		return exitOK
	case errors.As(err, &ee):
		if ee.message != "" {
			printf(env.stderr, "crocusctl: %s\n", ee.message)
		}
		return ee.code
	}
	printf(env.stderr, "crocusctl: %v\n", err)
	printf(env.stderr, "Run crocusctl help VERB for the usage of a verb.\n")
	return exitUsage
}

// OutputOptions selects the output format.
type OutputOptions struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
}

// write prints v as JSON or calls table to print it, depending on --output.
func (o OutputOptions) write(env *environment, v any, table func(w io.Writer)) error {
	if o.Output == "json" {
		e := json.NewEncoder(env.stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printf writes to an output stream. Write errors, such as a closed pipe, are
// ignored because there is nowhere to report them.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// row writes one row of a table. Empty cells are printed as "-".
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			printf(w, "\t")
		}
		if c == "" {
			c = "-"
		}
		printf(w, "%v", c)
	}
	printf(w, "\n")
}
