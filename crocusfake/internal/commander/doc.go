// Package commander implements the command line of crocusfake. It maps verbs to
// stand-ins and experiments and formats their results; everything else is
// implemented by the packages that it calls.
package commander
