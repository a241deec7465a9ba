// Package recorder records the decisions of a node: one structured log line
// for each decision, a ring buffer of the most recent ones for the admin API,
// and counters and timers. It owns the ring buffer and the metrics registry. It
// makes no decisions about requests and blocks only on its own mutexes and on
// the log writer.
package recorder
