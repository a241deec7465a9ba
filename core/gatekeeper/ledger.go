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
	// ticket is the serial that the run uses up, or 0.
	ticket uint64
	// key is the key that the run uses up; the zero value means none.
	key keyID
	// answer is nil while running and after the answer was dropped.
	answer *Answer
	// size is the share of Gate.answerBytes; 0 when answer is nil.
	size int
	// refs counts the records, ticket entry and key entry that refer to the
	// execution; the answer is dropped with the last of them.
	refs int
	// element is the place in Gate.answers; nil when answer is nil.
	element *list.Element
}

// record is the state of one attempt ID that is not absent.
type record struct {
	id AttemptID
	// execution is nil for an attempt that is void or in doubt.
	execution *execution
	// doubt is the reason of an attempt in doubt, ReasonNone when it is void.
	doubt resolver.Reason
	// idle is the place in Gate.idle; nil while the attempt is running as a
	// leader. Only idle records are dropped.
	idle *list.Element
	// queued is true while the record is in its sender's heap. Every idle
	// record is queued.
	queued bool
}

func (r *record) running() bool {
	return r.execution != nil && r.execution.state == executionRunning && r.execution.leader == r.id
}

// sender holds what is known of one sender incarnation.
type sender struct {
	// watermark only grows. An ID without a record whose sequence is below it
	// never starts; every dropped record is below it.
	watermark uint64
	// settled is the sender's own watermark: settled <= watermark.
	settled uint64
	// records is a heap by sequence.
	records recordHeap
}

// recordHeap implements heap.Interface, the lowest sequence first.
type recordHeap []*record

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return h[i].id.Sequence < h[j].id.Sequence }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by package heap only.
func (h *recordHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop is called by package heap only.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// sender returns the entry of a boot ID, or nil when the table is full. Entries
// are never removed, so that a nil result is final for that boot ID.
func (g *Gate) sender(boot uint64) *sender {
	s, ok := g.senders[boot]
	if !ok && len(g.senders) < g.cfg.MaxSenders {
		s = &sender{watermark: 1, settled: 1}
		g.senders[boot] = s
	}
	return s
}

// settle applies the watermark that a sender advertised.
func (g *Gate) settle(s *sender, below uint64) {
	if below <= s.settled {
		return
	}
	s.settled = below
	s.watermark = max(s.watermark, below)
	g.prune(s, below)
}

// prune drops the sender's idle records below limit. Running ones leave the
// heap and return to it in stopped.
func (g *Gate) prune(s *sender, limit uint64) {
	for len(s.records) > 0 && s.records[0].id.Sequence < limit {
		r := heap.Pop(&s.records).(*record)
		r.queued = false
		if r.idle != nil {
			g.drop(r)
		}
	}
}

func (g *Gate) drop(r *record) {
	delete(g.records, r.id)
	g.idle.Remove(r.idle)
	r.idle = nil
	if r.execution != nil {
		g.release(r.execution)
	}
}

// makeRoom tells whether one more record fits. At the bound it moves the
// watermark of a sender past the record that has been idle for longest.
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

// note records an attempt that does not start. When no record fits, the
// watermark moves past the ID, which equally keeps it from starting.
func (g *Gate) note(s *sender, r record) {
	if !g.makeRoom() {
		s.watermark = max(s.watermark, r.id.Sequence+1)
		return
	}
	added := g.add(s, r)
	added.idle = g.idle.PushBack(added)
}

// add stores a record for which makeRoom found room.
func (g *Gate) add(s *sender, r record) *record {
	if r.execution != nil {
		r.execution.refs++
	}
	g.records[r.id] = &r
	r.queued = true
	heap.Push(&s.records, &r)
	return &r
}

// stopped makes the record of a leader idle after its run ended.
func (g *Gate) stopped(r *record) {
	s := g.senders[r.id.SenderBoot]
	r.idle = g.idle.PushBack(r)
	if r.queued {
		return
	}
	if r.id.Sequence < s.settled {
		g.drop(r)
		return
	}
	r.queued = true
	heap.Push(&s.records, r)
}

// keep stores the answer of a finished execution and drops the oldest answers
// over the bound.
func (g *Gate) keep(e *execution, a Answer) {
	size := answerOverhead + len(a.Body)
	for _, h := range a.Headers {
		size += len(h.GetName())
		for _, v := range h.GetValues() {
			size += len(v)
		}
	}
	if size > min(g.cfg.MaxAnswer, g.cfg.MaxAnswerBytes) {
		g.forget(e)
		return
	}
	e.answer, e.size = &a, size
	e.element = g.answers.PushBack(e)
	g.answerBytes += size
	for g.answerBytes > g.cfg.MaxAnswerBytes {
		g.forget(g.answers.Front().Value.(*execution))
	}
}

// forget drops an answer and shrinks the ticket's entry to a shared marker.
// The ticket or key stays used.
func (g *Gate) forget(e *execution) {
	if e.element != nil {
		g.answers.Remove(e.element)
		g.answerBytes -= e.size
		e.element, e.answer, e.size = nil, nil, 0
	}
	if e.ticket != 0 && g.tickets[e.ticket] == e {
		g.tickets[e.ticket] = g.forgotten
		e.refs--
	}
}

// release takes back one reference.
func (g *Gate) release(e *execution) {
	e.refs--
	if e.refs == 0 && e != g.forgotten {
		g.forget(e)
	}
}
