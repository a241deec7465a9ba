package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"crocustack/core/configurer"
	"crocustack/crocusd/internal/catcher"
	"crocustack/crocusd/internal/composer"
	"crocustack/crocusd/internal/runner"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitFindings = 3
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings of the node (YAML)"`
	Check    bool   `long:"check" description:"check the settings, print all findings and exit"`
}

const longDescription = `Runs one node beside its backend server. It serves until SIGTERM or SIGINT,
then refuses new requests, completes those in flight within DrainTimeout and exits.
Exit codes: 0 stopped by a signal or a drain, 1 failed, 2 usage, 3 findings in the settings.`

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var o options
	p := flags.NewNamedParser("crocusd", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longDescription
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if _, err := p.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(out, err)
			return exitOK
		}
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	b, err := os.ReadFile(o.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	cfg, err := configurer.Load(o.Settings, b)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFindings
	}
	if o.Check {
		return exitOK
	}
	return serve(o.Settings, b, cfg, out, errOut)
}

// node is a configured node, ready to run.
type node interface {
	// Run serves until ctx ends, then stops gracefully.
	Run(ctx context.Context) error
	// Reload applies the settings that can change while the node runs, and logs
	// whether the others need a restart.
	Reload(cfg configurer.Settings)
	// ReloadFailed logs why changed settings are not applied.
	ReloadFailed(err error)
}

func build(cfg configurer.Settings, out io.Writer) (node, error) {
	if cfg.Platform.Hosted {
		return composer.New(cfg, out)
	}
	return runner.New(cfg, out)
}

func serve(file string, b []byte, cfg configurer.Settings, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := build(cfg, out)
	if err == nil {
		go newReloader(file, b, n, catcher.Hangups()).run(ctx)
		err = n.Run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}
