package gatekeeper

import (
	"container/heap"
	"container/list"

	"crocustack/core/resolver"
)

type executionState int

const (
	executionRunning executionState = iota
	executionDone
	executionWithdrawn
)

// execution is one permitted run. Attempts with the same ticket or key share it.
type execution struct {
	leader AttemptID
	state  executionState
	kind   string
	// ticket is the serial of the ticket that the run uses, or 0.
	ticket uint64
	// key is the idempotency key that the run uses. The zero value means none.
	key keyID
	// answer is nil while running and after the answer was dropped.
	answer *Answer
	// size is the part of Gate.answerBytes used by answer; 0 when answer is nil.
	size int
	// refs counts the references to the execution from Gate.records, Gate.tickets
	// and Gate.keys. The answer is dropped with the last of them.
	refs int
	// element is the element in Gate.answers; nil when answer is nil.
	element *list.Element
}

// record is the state of one attempt that the gate has decided on.
type record struct {
	id AttemptID
	// execution is nil for an attempt that is void or whose outcome is
	// indeterminate.
	execution *execution
	// reason is the reason for an indeterminate outcome; ReasonNone for a void
	// attempt.
	reason resolver.Reason
	// idle is the element in Gate.idle; nil while the attempt is running as a
	// leader. Only idle records are dropped.
	idle *list.Element
	// queued is true while the record is in its sender's heap. Every idle
	// record is queued.
	queued bool
}

func (r *record) running() bool {
	return r.execution != nil && r.execution.state == executionRunning && r.execution.leader == r.id
}

// sender is the state of one sender incarnation.
type sender struct {
	// watermark never decreases. An attempt below it that has no record never
	// starts. Every dropped record is below it.
	watermark uint64
	// settled is the highest watermark that the sender advertised:
	// settled <= watermark.
	settled uint64
	// records is a min-heap by sequence.
	records recordHeap
}

// recordHeap implements heap.Interface with the lowest sequence first.
type recordHeap []*record

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return h[i].id.Sequence < h[j].id.Sequence }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// sender returns the entry of a boot ID and adds one if there is none. It
// returns nil when the table is full. Entries are never removed, so a nil
// result is final for that boot ID.
func (g *Gate) sender(boot uint64) *sender {
	s, ok := g.senders[boot]
	if !ok && len(g.senders) < g.cfg.MaxSenders {
		s = &sender{watermark: 1, settled: 1}
		g.senders[boot] = s
	}
	return s
}

// settle applies the watermark that a sender advertised.
func (g *Gate) settle(s *sender, advertised uint64) {
	if advertised <= s.settled {
		return
	}
	s.settled = advertised
	s.watermark = max(s.watermark, advertised)
	g.prune(s, advertised)
}

// prune drops the sender's idle records below limit. It removes running ones
// from the heap only; markIdle drops them or adds them again.
func (g *Gate) prune(s *sender, limit uint64) {
	for len(s.records) > 0 && s.records[0].id.Sequence < limit {
		r := heap.Pop(&s.records).(*record)
		r.queued = false
		if r.idle != nil {
			g.dropRecord(r)
		}
	}
}

func (g *Gate) dropRecord(r *record) {
	delete(g.records, r.id)
	g.idle.Remove(r.idle)
	r.idle = nil
	if r.execution != nil {
		g.release(r.execution)
	}
}

// makeRoom reports whether one more record fits. When MaxRecords is reached, it
// evicts the record that has been idle for longest by moving the watermark of
// its sender past it.
func (g *Gate) makeRoom() bool {
	if len(g.records) < g.cfg.MaxRecords {
		return true
	}
	oldest := g.idle.Front()
	if oldest == nil {
		return false
	}
	id := oldest.Value.(*record).id
	s := g.senders[id.SenderBoot]
	s.watermark = max(s.watermark, id.Sequence+1)
	g.prune(s, id.Sequence+1)
	return true
}

// addIdle records an attempt that does not start. When no record fits, it moves
// the watermark past the ID instead, which also prevents the attempt from
// starting.
func (g *Gate) addIdle(s *sender, r record) {
	if !g.makeRoom() {
		s.watermark = max(s.watermark, r.id.Sequence+1)
		return
	}
	added := g.add(s, r)
	added.idle = g.idle.PushBack(added)
}

// add stores a record. The caller has called makeRoom.
func (g *Gate) add(s *sender, r record) *record {
	if r.execution != nil {
		r.execution.refs++
	}
	g.records[r.id] = &r
	r.queued = true
	heap.Push(&s.records, &r)
	return &r
}

// markIdle marks the record of a leader as idle after its run has ended, and
// drops it if it is settled.
func (g *Gate) markIdle(r *record) {
	s := g.senders[r.id.SenderBoot]
	r.idle = g.idle.PushBack(r)
	if r.queued {
		return
	}
	if r.id.Sequence < s.settled {
		g.dropRecord(r)
		return
	}
	r.queued = true
	heap.Push(&s.records, r)
}

// storeAnswer stores the answer of a finished execution and drops the oldest
// answers while MaxAnswerBytes is exceeded.
func (g *Gate) storeAnswer(e *execution, a Answer) {
	size := answerOverhead + len(a.Body)
	for _, h := range a.Headers {
		size += len(h.GetName())
		for _, v := range h.GetValues() {
			size += len(v)
		}
	}
	if size > min(g.cfg.MaxBytesPerAnswer, g.cfg.MaxAnswerBytes) {
		g.dropAnswer(e)
		return
	}
	e.answer, e.size = &a, size
	e.element = g.answers.PushBack(e)
	g.answerBytes += size
	for g.answerBytes > g.cfg.MaxAnswerBytes {
		g.dropAnswer(g.answers.Front().Value.(*execution))
	}
}

// dropAnswer drops the answer of an execution and replaces its entry in tickets
// with the shared tombstone, which takes less memory. The ticket or key stays
// used.
func (g *Gate) dropAnswer(e *execution) {
	if e.element != nil {
		g.answers.Remove(e.element)
		g.answerBytes -= e.size
		e.element, e.answer, e.size = nil, nil, 0
	}
	if e.ticket != 0 && g.tickets[e.ticket] == e {
		g.tickets[e.ticket] = g.tombstone
		e.refs--
	}
}

// release removes one reference to an execution.
func (g *Gate) release(e *execution) {
	e.refs--
	if e.refs == 0 && e != g.tombstone {
		g.dropAnswer(e)
	}
}
