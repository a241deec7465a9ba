package handler

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/encoder"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
)

// serverEnds numbers the ends of the backend server. It is safe for concurrent use.
type serverEnds struct {
	boot uint64 // Boot ID of this node.

	mu    sync.Mutex
	count uint64
	// last is when a connection broke last because of an end.
	last time.Duration
	// open holds the latest open runs, oldest first: len <= maxOpen.
	open []openRun
}

// endSpacing is the least time between two ends of the backend server. Connections
// that break closer together broke because of the same end.
const endSpacing = 100 * time.Millisecond

// at returns the id, among all nodes, of the end because of which a connection
// broke at the given time.
func (s *serverEnds) at(broke time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 || broke-s.last >= endSpacing {
		s.count++
	}
	s.last = max(s.last, broke)
	b := binary.BigEndian.AppendUint64(nil, s.boot)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, s.count))
}

// openRun is a run that has not been answered, by a backend server that may have
// ended since without that being plain: the sender left, or the connection broke
// while the server still listened.
type openRun struct {
	m   *encoder.Run
	key quarantiner.Key
	at  time.Duration
	// trial is the id of the run among all nodes if it was a trial; 0 otherwise.
	trial uint64
}

const (
	// suspicionDelay is how long after a run was left open the end of the server
	// speaks against it.
	suspicionDelay = time.Second
	// maxOpen bounds the open runs that are remembered.
	maxOpen = 64
)

// remember adds an open run.
func (s *serverEnds) remember(r openRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxOpen {
		s.open = s.open[1:]
	}
	s.open = append(s.open, r)
}

// takeOpen removes the open runs and returns those against which the end of the
// server speaks.
func (s *serverEnds) takeOpen(now time.Duration) []openRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.open
	s.open = nil
	return slices.DeleteFunc(runs, func(r openRun) bool { return now-r.at > suspicionDelay })
}

// observeBroken handles a connection to the backend server that broke while it may
// have been running a request.
func (h *Handler) observeBroken(r openRun) {
	if !h.backend.Ended(context.Background()) {
		// A process that ends may close a connection before its listener.
		h.ends.remember(r)
		return
	}
	end := h.ends.at(r.at)
	h.recordEnd(r, end)
	h.recordOpen(h.ends.takeOpen(r.at), end)
}

// recheckDelay is how long after the connection of a trial broke the server is looked for
// again: its listener may have closed after the connection.
const recheckDelay = 300 * time.Millisecond

// recheckEnd looks for the end of the server that explains runs which were left open.
func (h *Handler) recheckEnd() {
	if h.backend.Ended(context.Background()) {
		now := h.clock.Now()
		h.recordOpen(h.ends.takeOpen(now), h.ends.at(now))
	}
}

// observeUnreachable handles a backend server to which no connection could be
// opened: if it has ended, that may be because of a run that was left open.
func (h *Handler) observeUnreachable() {
	now := h.clock.Now()
	runs := h.ends.takeOpen(now)
	if len(runs) > 0 && h.backend.Ended(context.Background()) {
		h.recordOpen(runs, h.ends.at(now))
	}
}

// recordOpen records an end against runs that were left open.
func (h *Handler) recordOpen(runs []openRun, end uint64) {
	for _, r := range runs {
		h.recordEnd(r, end)
	}
}

// recordEnd records that the backend server ended while it was running a request.
func (h *Handler) recordEnd(r openRun, end uint64) {
	known := h.cfg.Suspects.RecordEnd(r.key, end)
	if r.trial != 0 {
		known = h.cfg.Suspects.RecordTrial(r.key, r.trial)
		h.record(r.m, recorder.KindTrial, nil, "the server ended: "+known.String())
	}
	h.record(r.m, recorder.KindEnd, nil, fmt.Sprintf("end %016x, request %s, %s", end, r.key.Fingerprint, known))
}
