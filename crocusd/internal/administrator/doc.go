// Package administrator serves the admin API of a node: status, links, limits,
// recent decisions, the release in force, metrics, health and drain. It owns no
// state and changes none but by starting a drain.
package administrator
