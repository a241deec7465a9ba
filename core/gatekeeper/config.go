package gatekeeper

import "time"

// Config holds the limits of a Gate. Fields that are not positive take the
// defaults.
type Config struct {
	// MaxRecords bounds the attempt records of all senders together.
	MaxRecords int
	// MaxSenders bounds the sender incarnations. Their entries are never removed.
	MaxSenders int
	// MaxAnswerBytes bounds the total size of the stored answers. Each answer
	// counts with a fixed overhead.
	MaxAnswerBytes int
	// MaxBytesPerAnswer bounds the size of one stored answer. A larger answer is
	// not stored.
	MaxBytesPerAnswer int
	// MaxTickets bounds the minted serials that have not been dropped yet.
	MaxTickets int
	// TicketLifetime is the minimum time for which a ticket is valid.
	TicketLifetime time.Duration
	// MaxKeys bounds the idempotency keys stored, including those of running
	// attempts.
	MaxKeys int
	// MaxKeyLength bounds the length of one key in bytes.
	MaxKeyLength int
	// KeyLifetime is the active time for which a key is stored after its run
	// has ended.
	KeyLifetime time.Duration
	// MaxStep is the most by which one call advances active time, the monotonic
	// time without pauses of the process.
	MaxStep time.Duration
	// MaxDrops bounds the expired tickets and keys that one call drops, so that
	// no call takes long: dropping 262,144 tickets in one call took 56 ms.
	MaxDrops int
}

// answerOverhead approximates the memory of one stored answer besides its bytes.
const answerOverhead = 256

func (c Config) withDefaults() Config {
	// About 2 minutes at 260 calls/s, the load of one upstream at full scale.
	setDefault(&c.MaxRecords, 1<<15)
	// Enough for 3,000 nodes and 189 days with 330 restarts a day.
	setDefault(&c.MaxSenders, 1<<16)
	setDefault(&c.MaxAnswerBytes, 16<<20)
	// The node streams longer answers instead of buffering them.
	setDefault(&c.MaxBytesPerAnswer, 256<<10)
	// 218 tickets/s: each ticket is kept for two lifetimes.
	setDefault(&c.MaxTickets, 1<<17)
	setDefault(&c.TicketLifetime, 5*time.Minute)
	setDefault(&c.MaxKeys, 1<<15)
	setDefault(&c.MaxKeyLength, 256)
	setDefault(&c.KeyLifetime, 10*time.Minute)
	// A longer gap counts as a pause of the process.
	setDefault(&c.MaxStep, 300*time.Millisecond)
	setDefault(&c.MaxDrops, 256)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
