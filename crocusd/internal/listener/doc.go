// Package listener opens the HTTP listeners of a node. It owns no state.
package listener
