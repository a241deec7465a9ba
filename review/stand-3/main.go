// Command stand3 plays one case of the third review: it starts nodes of the project, a
// stand-in for the platform's store, upstreams and clients, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest bounds the time of a case, which may take 120 s.
const longest = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns whether the rule was broken; an error
// means that it could not run. trouble is false for a run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"attempts": attempts,
	"crowds":   crowds,
	"quota":    quota,
	"trickle":  trickle,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go func() {
		end := make(chan os.Signal, 1)
		signal.Notify(end, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-end:
		case <-time.After(longest):
		}
		stopFleets()
		rec.say("could not run: stopped before its end")
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
