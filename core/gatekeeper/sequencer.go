package gatekeeper

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// Sequencer hands out the attempt sequences of one sender incarnation. It is
// safe for concurrent use. Use NewSequencer.
type Sequencer struct {
	mu sync.Mutex
	// next is the sequence that Next returns; it only grows.
	next uint64
	// below is the lowest sequence not settled: below <= next.
	below uint64
	// settled holds the settled sequences in (below, next).
	settled map[uint64]struct{}
}

// NewSequencer returns a sequencer that begins at 1.
func NewSequencer() *Sequencer {
	return &Sequencer{next: 1, below: 1, settled: make(map[uint64]struct{})}
}

// Next returns a sequence that was never returned before.
func (s *Sequencer) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.next
	s.next++
	return n
}

// Settle says that the outcome of the attempt is final, so that its sender
// will neither ask the gate about it nor send it.
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

// SettledBelow returns the watermark: every lower sequence is settled.
func (s *Sequencer) SettledBelow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.below
}

// NewBootID returns the random id of an incarnation; never 0, which means none.
func NewBootID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return binary.LittleEndian.Uint64(b[:]) | 1
}
