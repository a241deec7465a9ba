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
	// 0 if unknown.
	StartMillis int64
	// Sequence counts the reports within one run.
	Sequence int64
}

// Older reports whether m describes an earlier run, or an earlier report of the
// same run, than o. Both must have the same Instance.
func (m Member) Older(o Member) bool {
	if m.StartMillis != o.StartMillis {
		return m.StartMillis < o.StartMillis
	}
	return m.Sequence < o.Sequence
}
