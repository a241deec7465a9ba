package catcher

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups is set during package initialisation, because the default action of
// SIGHUP would terminate the process while other packages are initialised.
var hangups = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Hangups returns the channel that receives SIGHUP. The signal is caught from
// the start of the program to its end, so that it terminates neither a process
// that is starting nor one that is draining. While a signal is pending in the
// channel, further ones are coalesced into it.
func Hangups() <-chan os.Signal { return hangups }
