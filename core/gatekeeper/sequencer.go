package gatekeeper

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// Sequencer assigns the attempt sequences of one sender incarnation and tracks
// which of them are settled. It is safe for concurrent use. Use NewSequencer to
// create one.
type Sequencer struct {
	mu sync.Mutex
	// next is the sequence that Next returns. It never decreases.
	next uint64
	// watermark is the lowest sequence that is not settled: watermark <= next.
	watermark uint64
	// settled holds the settled sequences in (watermark, next).
	settled map[uint64]struct{}
}

// NewSequencer returns a Sequencer that starts at 1.
func NewSequencer() *Sequencer {
	return &Sequencer{next: 1, watermark: 1, settled: make(map[uint64]struct{})}
}

// Next returns a sequence that was not returned before.
func (s *Sequencer) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.next
	s.next++
	return n
}

// Settle marks an attempt as settled: its outcome is final, and the sender will
// neither query the gate about it nor send it.
func (s *Sequencer) Settle(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq < s.watermark || seq >= s.next {
		return
	}
	s.settled[seq] = struct{}{}
	for {
		if _, ok := s.settled[s.watermark]; !ok {
			return
		}
		delete(s.settled, s.watermark)
		s.watermark++
	}
}

// SettledBelow returns the settled watermark: every lower sequence is settled.
func (s *Sequencer) SettledBelow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watermark
}

// NewBootID returns a random boot ID for an incarnation. It is never 0, which
// means no boot ID.
func NewBootID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return binary.LittleEndian.Uint64(b[:]) | 1
}
