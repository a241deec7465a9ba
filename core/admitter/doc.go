// Package admitter decides which requests a gate passes to its backend server,
// which ones wait and which ones are shed. An Admitter owns the concurrency
// limit, the queue and the admission level of one node; Levels holds the levels
// that other services reported. The package reads no clock, runs nothing in the
// background and never consults a health endpoint: it learns only from the
// latency and the refusals of requests that it admitted.
package admitter
