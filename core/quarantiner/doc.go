// Package quarantiner decides which requests must not reach backend servers any
// more because servers end while running them (a "query of death"). It identifies
// requests by what a backend server sees of them, and owns the table of what is known
// about each.
//
// The package never sends, runs or refuses a request. No decision depends on time: a
// verdict ends with evidence against it alone.
package quarantiner
