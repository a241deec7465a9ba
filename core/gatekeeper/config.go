package gatekeeper

import "time"

// Config bounds the memory of a Gate. Zero fields take the defaults.
type Config struct {
	// MaxRecords bounds the attempt records over all senders.
	MaxRecords int
	// MaxSenders bounds the sender incarnations, which are never dropped.
	MaxSenders int
	// MaxAnswerBytes bounds the answers kept, with a fixed overhead for each.
	MaxAnswerBytes int
	// MaxAnswer bounds one kept answer; a larger one is not kept.
	MaxAnswer int
	// MaxTickets bounds the serials that are minted and not yet dropped.
	MaxTickets int
	// TicketLifetime is the shortest time that a ticket is valid.
	TicketLifetime time.Duration
	// MaxKeys bounds the keys remembered, running ones included.
	MaxKeys int
	// MaxKeyLength bounds the bytes of one key.
	MaxKeyLength int
	// KeyLifetime is the observed time that a key is kept after its run ended.
	KeyLifetime time.Duration
	// MaxStep is the most that one call adds to observed time.
	MaxStep time.Duration
	// MaxDrops bounds the aged tickets and keys that one call drops. Dropping
	// 262,144 tickets in one call took 56 ms.
	MaxDrops int
}

// answerOverhead approximates the memory of one kept answer besides its bytes.
const answerOverhead = 256

func (c Config) withDefaults() Config {
	// About 2 minutes of the 260 calls/s that an upstream gets at full scale.
	setDefault(&c.MaxRecords, 1<<15)
	// 3,000 nodes and 189 days of 330 restarts a day.
	setDefault(&c.MaxSenders, 1<<16)
	setDefault(&c.MaxAnswerBytes, 16<<20)
	// Longer answers are streamed and not buffered by the node.
	setDefault(&c.MaxAnswer, 256<<10)
	// 218 tickets/s over the two lifetimes that a ticket is kept.
	setDefault(&c.MaxTickets, 1<<17)
	setDefault(&c.TicketLifetime, 5*time.Minute)
	setDefault(&c.MaxKeys, 1<<15)
	setDefault(&c.MaxKeyLength, 256)
	setDefault(&c.KeyLifetime, 10*time.Minute)
	// The gap above which a process counts as paused.
	setDefault(&c.MaxStep, 300*time.Millisecond)
	setDefault(&c.MaxDrops, 256)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
