// Package commander implements the verbs of crocusctl, one file for each and a
// look-up table. It reads files, the admin API of nodes and the platform. It
// writes to its output streams, to a file named by --out, and to nodes only
// with the verb drain; it never writes to the platform.
package commander
