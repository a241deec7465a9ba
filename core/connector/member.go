package connector

import "time"

// Member is one backend server as it registered itself.
type Member struct {
	// Instance is the id of this run of the backend server.
	Instance string
	Service  string
	// Address is the host:port on which the backend server listens.
	Address string
	Domain  string
	// Draining is true if the backend server takes no new work.
	Draining bool
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// Warmup is how much longer the backend server stays slow after its start,
	// as of the time of the entry.
	Warmup time.Duration
	// StartMillis is the start time of the backend server in Unix milliseconds;
	// 0 if unknown. It tells runs apart but doesn't order them: the clock of the
	// machine may have been set back between two starts.
	StartMillis int64
	// Sequence counts the reports within one run.
	Sequence int64
	// Written is the position of the store at which the report was written. It
	// orders all reports of one instance.
	Written Position
}

// SameRun reports whether m and o describe the same run of an instance.
func (m Member) SameRun(o Member) bool {
	return m.Instance == o.Instance && m.StartMillis == o.StartMillis
}

// Older reports whether m was written before o, or is an earlier report of the
// same run that was written late. Both must have the same Instance.
func (m Member) Older(o Member) bool {
	return m.Written.Before(o.Written) || m.SameRun(o) && m.Sequence < o.Sequence
}
