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
	// below is the lowest sequence that is not settled: below <= next.
	below uint64
	// settled holds the settled sequences in (below, next).
	settled map[uint64]struct{}
}

// NewSequencer returns a Sequencer that starts at 1.
func NewSequencer() *Sequencer {
	return &Sequencer{next: 1, below: 1, settled: make(map[uint64]struct{})}
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
	if seq < s.below || seq >= s.next {
		return
	}
	s.settled[seq] = struct{}{}
	for {
		if _, ok := s.settled[s.below]; !ok {
			return
		}
		delete(s.settled, s.below)
		s.below++
	}
}

// SettledBelow returns the settled watermark: every lower sequence is settled.
func (s *Sequencer) SettledBelow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.below
}

// NewBootID returns a random boot ID for an incarnation. It is never 0, which
// means no boot ID.
func NewBootID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return binary.LittleEndian.Uint64(b[:]) | 1
}
