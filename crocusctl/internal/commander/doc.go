// Package commander implements the verbs of crocusctl, one file per verb. It
// reads files, the admin API of nodes and the platform. It writes to its output
// streams and to the file given by --out, and changes the state of nodes only
// with the verb drain; it never writes to the platform.
package commander
