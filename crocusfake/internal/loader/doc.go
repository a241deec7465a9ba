// Package loader is a stand-in for callers: it offers requests at given rates
// whether or not earlier ones were answered, repeats failed ones on demand and
// records what the caller was told. It owns the records. It decides nothing
// about the system and never hides a failure by repeating it silently: each
// HTTP request is one recorded try.
package loader
