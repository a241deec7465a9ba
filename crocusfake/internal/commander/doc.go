// Package commander maps the verbs of the command line to the stand-ins and
// experiments. It owns the look-up table and the output formats and contains
// no behaviour of its own.
package commander
