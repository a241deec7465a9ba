// Package informer holds the JSON documents of a node's admin API, so that the
// node that writes them and the clients that read them share one definition.
// It decides nothing and owns no state.
package informer
