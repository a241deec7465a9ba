// Package commander implements the command line of crocusd.
package commander
