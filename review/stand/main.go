// Command stand holds the stand-ins and the scripts of the review: a store, upstreams
// and clients that follow the platform's pages, around real nodes.
package main

import (
	"fmt"
	"os"
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
