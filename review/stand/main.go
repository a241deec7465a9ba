// Command stand holds the stand-ins and the scripts of the review: a store, upstreams
// and clients that follow the platform's pages, around real nodes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a script.
const longest = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenarios holds the cases by name. trouble is false for the run without the
// disruption.
var scenarios = map[string]func(rec *recorder, trouble bool) (verdict, error){}

// running holds the fleets whose processes must not outlive this one.
var running struct {
	mu     sync.Mutex
	fleets []*fleet
}

// endEarly ends all processes and exits when this process is told to end or has run
// for too long.
func endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	running.mu.Lock()
	for _, f := range running.fleets {
		f.close()
	}
	rec.log("not run: ended early")
	rec.close()
	fmt.Println("not run: ended early")
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption %t", os.Args[1], trouble)
	v, err := scenario(rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Println("not run:", err)
		code = exitNotRun
	case v.broken:
		rec.log("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		code = exitBroken
	default:
		rec.log("held: %s", v.text)
		fmt.Println("held:", v.text)
	}
	rec.close()
	os.Exit(code)
}
