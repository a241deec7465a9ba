// Package recorder makes the decisions of a node visible: one structured log
// line for each decision, a ring of the most recent ones for the admin API,
// and counters and timers. It owns the ring and the metrics registry. It
// decides nothing about requests and never blocks on anything but its own
// mutex and the writer of the log.
package recorder
