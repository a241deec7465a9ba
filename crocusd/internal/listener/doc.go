// Package listener opens and stops the HTTP listeners of a node. It owns the states
// of their connections and never decides how a request is answered.
package listener
