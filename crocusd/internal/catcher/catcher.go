package catcher

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups is set when the package is initialised, not by a function: the default
// action of SIGHUP would end a process whose other packages are being initialised.
var hangups = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Hangups receives SIGHUP from the start of the program to its end, so that it
// ends neither a process that is starting nor one that is finishing requests. A
// signal that nobody has received yet stands for all that follow it.
func Hangups() <-chan os.Signal { return hangups }
