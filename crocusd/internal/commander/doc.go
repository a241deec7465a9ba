// Package commander reads the command line of the node.
package commander
