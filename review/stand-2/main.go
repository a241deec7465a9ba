// Program stand-2 holds the stand-ins and the drivers of the cases of this review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine of a small deployment in MB, smallMemoryMB that of
// the smallest machine of the pages.
const memoryMB, smallMemoryMB = 284, 184

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordFile string) int {
	cases := map[string]func(*cluster, bool) (bool, error){"uploads": uploads, "roll": roll, "today": today, "ahead": ahead, "foreign": foreignEntry}
	log, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	c, err := newCluster(program, log)
	if err != nil {
		log.say("can't run: %v", err)
		return 2
	}
	defer c.close()
	go endEarly(c)
	broken, err := cases[name](c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.say("can't run: %v", err)
		return 2
	case broken:
		return 1
	default:
		return 0
	}
}

// maxTime bounds a run.
const maxTime = 118 * time.Second

// endEarly ends all processes and the driver when it is told to stop, or takes too long.
func endEarly(c *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	c.close()
	fmt.Fprintln(os.Stderr, "can't run: stopped, or more than", maxTime)
	os.Exit(2)
}
