// Package apportioner applies the rate limits of organisations: it gets the tokens for
// the requests that enter at this node from the homes, and gives out those of the
// organisations whose home this node is. The decisions are those of rationer; this
// package does the I/O, keeps the stocks and counts what was admitted and limited.
package apportioner
