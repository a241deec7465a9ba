// Command crocusctl is the command-line client for operators of crocustack.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"crocustack/crocusctl/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
