// Package informer defines the JSON documents of a node's admin API, so that
// the node and its clients share one definition. It holds no state and makes no
// decisions.
package informer
