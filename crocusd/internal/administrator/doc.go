// Package administrator serves the admin API of a node: status, links, limits,
// recent decisions, the active release, metrics, health and drain. It holds no
// state, and all its endpoints but drain are read-only.
package administrator
