// Command crocusd runs a node, the proxy beside a backend server.
package main

import (
	"os"

	"crocustack/crocusd/internal/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
