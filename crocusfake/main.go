// Command crocusfake runs stand-ins for the platform, backend servers and
// callers, and experiments with real nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"crocustack/crocusfake/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
