package connector

import "time"

// Member is one backend server as it registered itself.
type Member struct {
	// Instance is the id of this run of the backend server.
	Instance string
	Service  string
	// Address is where the backend server listens, host:port.
	Address string
	Domain  string
	// Draining is true when the backend server takes no new work.
	Draining bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// Warmup is how much longer the backend server stays slow after its start,
	// as of the time of the entry.
	Warmup time.Duration
	// Born is the Unix time of the backend server's start in milliseconds; 0
	// when it isn't known.
	Born int64
	// Sequence counts the reports of one run.
	Sequence int64
}

// Older tells whether m describes an earlier run, or an earlier report of the
// same run, than o. Both have the same Instance.
func (m Member) Older(o Member) bool {
	if m.Born != o.Born {
		return m.Born < o.Born
	}
	return m.Sequence < o.Sequence
}
