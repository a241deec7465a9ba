package gatekeeper

import (
	"container/list"
	"math"
	"sort"
	"time"

	"crocustack/core/resolver"
)

// bucketsPerLifetime is the number of mint intervals in one TicketLifetime.
// Tickets minted in the same interval expire together, so a ticket can live
// longer than TicketLifetime by one interval, 1.6%.
const bucketsPerLifetime = 64

// ticketRetention is the number of lifetimes after which a bucket is dropped.
// During the second lifetime the gate can still distinguish tickets that expired
// unused from tickets that were used.
const ticketRetention = 2

// Gate enforces at-most-once execution on one incarnation. It is not safe for
// concurrent use.
type Gate struct {
	cfg  Config
	self Incarnation
	// draining never becomes false again, so that a refusal because of it is final.
	draining bool

	// now is the latest time that a caller passed. It never decreases.
	now time.Duration
	// activeTime advances with now, but by at most MaxStep per call, so that it
	// leaves out pauses of the process. Keys expire by it.
	activeTime time.Duration

	// records holds the attempts that the gate has decided on and not dropped:
	// len <= MaxRecords. A record is dropped only below its sender's watermark.
	records map[AttemptID]*record
	// idle lists the records that are not running, longest idle first.
	idle *list.List
	// senders holds the sender incarnations by boot ID: len <= MaxSenders.
	// Entries are never removed.
	senders map[uint64]*sender

	// answers lists the executions with a stored answer, oldest first.
	answers *list.List
	// answerBytes is the total size of the stored answers: <= MaxAnswerBytes.
	answerBytes int

	// buckets covers the serials in [buckets[0].first, nextSerial) in ascending
	// order. Tickets with lower serials are never started.
	buckets []bucket
	// nextSerial is at least 1 and never decreases.
	nextSerial uint64
	// tickets holds the executions of the used serials that have not been dropped.
	tickets map[uint64]*execution
	// tombstone replaces the executions in tickets whose answer was dropped.
	tombstone *execution

	// keys holds the executions of the keys in use, running or finished:
	// len <= MaxKeys.
	keys map[keyID]*execution
	// finishedKeys lists the keys of finished runs by the active time at which the
	// run ended.
	finishedKeys *list.List
}

// bucket is a range of ticket serials that expire together.
type bucket struct {
	first uint64
	// opened and last are the times at which its first and last serial were minted.
	opened, last time.Duration
}

type keyID struct{ kind, key string }

type finishedKey struct {
	id    keyID
	ended time.Duration
}

// New returns the Gate of an incarnation that has not run anything yet.
func New(cfg Config, self Incarnation) *Gate {
	return &Gate{
		cfg:          cfg.withDefaults(),
		self:         self,
		records:      make(map[AttemptID]*record),
		idle:         list.New(),
		senders:      make(map[uint64]*sender),
		answers:      list.New(),
		nextSerial:   1,
		tickets:      make(map[uint64]*execution),
		tombstone:    &execution{state: executionDone},
		keys:         make(map[keyID]*execution),
		finishedKeys: list.New(),
	}
}

// Begin decides whether a received attempt may start. It returns Start only for
// an attempt that it has not decided on before.
func (g *Gate) Begin(now time.Duration, b BeginRequest) Decision {
	g.advance(now)
	switch {
	case b.Target != g.self:
		// The target may have run the attempt, so "not run" can't be reported.
		return Indeterminate{resolver.ReasonWrongIncarnation}
	case !validSequence(b.ID.Sequence):
		return Refuse{resolver.ReasonBadRequest}
	}
	s := g.sender(b.ID.SenderBoot)
	if s == nil {
		// The sender table is full. The attempt never starts, but its ticket or
		// key may have run.
		if first, d := g.permit(b); first != nil && d != nil {
			return d
		} else if indeterminate, ok := d.(Indeterminate); ok {
			return indeterminate
		}
		return Refuse{resolver.ReasonBufferFull}
	}
	g.settle(s, b.SettledBelow)
	if r, ok := g.records[b.ID]; ok {
		return r.decision()
	}
	if b.ID.Sequence < s.watermark {
		return Indeterminate{resolver.ReasonSettled}
	}

	e, d := g.permit(b)
	if d == nil && !g.makeRoom() {
		d = Refuse{resolver.ReasonBufferFull}
	}
	switch d := d.(type) {
	case nil:
		g.start(s, e)
		return Start{}
	case Indeterminate:
		if e == nil {
			g.addIdle(s, record{id: b.ID, reason: d.Reason})
			return d
		}
	case Refuse:
		e = nil
	case Join, Replay:
	case Start:
		panic("permit returned Start")
	}
	g.addIdle(s, record{id: b.ID, execution: e})
	return d
}

// permit decides by the ticket, the key and the draining state, regardless of
// the attempt ID. A nil decision permits the returned execution. With any other
// decision, a non-nil execution is the earlier one with the same ticket or key.
func (g *Gate) permit(b BeginRequest) (*execution, Decision) {
	e := &execution{leader: b.ID, kind: b.Kind}
	if b.Ticket != nil {
		if first, d := g.checkTicket(b); d != nil {
			return first, d
		}
		e.ticket = b.Ticket.Serial
	} else if b.Key != "" {
		if len(b.Key) > g.cfg.MaxKeyLength {
			return nil, Refuse{resolver.ReasonBadRequest}
		}
		e.key = keyID{b.Kind, b.Key}
		if first, ok := g.keys[e.key]; ok {
			return first, first.decision()
		}
		if !g.draining && len(g.keys) >= g.cfg.MaxKeys {
			return nil, Refuse{resolver.ReasonBufferFull}
		}
	}
	if g.draining {
		return nil, Refuse{resolver.ReasonDraining}
	}
	return e, nil
}

// checkTicket returns a nil decision for a valid, unused ticket, and the earlier
// execution for a used one.
func (g *Gate) checkTicket(b BeginRequest) (*execution, Decision) {
	t := *b.Ticket
	switch {
	case t.Home != g.self:
		return nil, Indeterminate{resolver.ReasonTicketForeign}
	case t.Kind != b.Kind, t.Serial == 0, t.Serial >= g.nextSerial:
		return nil, Refuse{resolver.ReasonBadRequest}
	case len(g.buckets) == 0, t.Serial < g.buckets[0].first:
		return nil, Indeterminate{resolver.ReasonTicketExpired}
	}
	if e, ok := g.tickets[t.Serial]; ok {
		if e != g.tombstone && e.kind != t.Kind {
			return nil, Refuse{resolver.ReasonBadRequest}
		}
		return e, e.decision()
	}
	i := sort.Search(len(g.buckets), func(i int) bool { return g.buckets[i].first > t.Serial }) - 1
	if g.now-g.buckets[i].last >= g.cfg.TicketLifetime {
		return nil, Refuse{resolver.ReasonTicketExpired}
	}
	return nil, nil
}

func (g *Gate) start(s *sender, e *execution) {
	g.add(s, record{id: e.leader, execution: e})
	if e.ticket != 0 {
		g.tickets[e.ticket] = e
		e.refs++
	}
	if e.key != (keyID{}) {
		g.keys[e.key] = e
		e.refs++
	}
}

// Finish ends a run that was started and stores its answer. An answer with
// outcome NotRun withdraws the attempt. An attempt that is not running is not
// changed.
func (g *Gate) Finish(now time.Duration, id AttemptID, a Answer) {
	if _, ok := a.Outcome.(resolver.NotRun); ok {
		g.Withdraw(now, id)
		return
	}
	g.advance(now)
	r, ok := g.records[id]
	if !ok || !r.running() {
		return
	}
	e := r.execution
	e.state = executionDone
	g.storeAnswer(e, a)
	if e.key != (keyID{}) {
		g.finishedKeys.PushBack(finishedKey{e.key, g.activeTime})
	}
	g.markIdle(r)
}

// Withdraw ends a run that was started and then refused before the backend
// server received it. The attempt and those that joined it become void, and the
// ticket or key becomes unused again.
func (g *Gate) Withdraw(now time.Duration, id AttemptID) {
	g.advance(now)
	r, ok := g.records[id]
	if !ok || !r.running() {
		return
	}
	e := r.execution
	e.state = executionWithdrawn
	if e.ticket != 0 && g.tickets[e.ticket] == e {
		delete(g.tickets, e.ticket)
		g.release(e)
	}
	if e.key != (keyID{}) {
		delete(g.keys, e.key)
		g.release(e)
	}
	g.markIdle(r)
}

// Void marks an attempt that the gate has not decided on as void, so that it
// never starts. For any other attempt it returns the state.
func (g *Gate) Void(now time.Duration, id AttemptID, target Incarnation) VoidDecision {
	g.advance(now)
	if target != g.self {
		return Foreign{}
	}
	s := g.sender(id.SenderBoot)
	if !validSequence(id.Sequence) {
		return Voided{} // Begin always refuses it.
	}
	if s == nil {
		// The sender table is full. The attempt never starts, but may have been
		// answered with a replay.
		return Settled{}
	}
	if r, ok := g.records[id]; ok {
		return r.voidDecision()
	}
	if id.Sequence < s.watermark {
		return Settled{}
	}
	g.addIdle(s, record{id: id})
	return Voided{}
}

// Mint returns n new tickets, or fewer when MaxTickets is reached. It returns
// none without a kind or after StartDraining.
func (g *Gate) Mint(now time.Duration, kind string, n int) []Ticket {
	g.advance(now)
	if g.draining || kind == "" {
		return nil
	}
	n = min(n, g.cfg.MaxTickets-g.ticketCount())
	if n <= 0 {
		return nil
	}
	width := g.cfg.TicketLifetime / bucketsPerLifetime
	if last := len(g.buckets) - 1; last < 0 || g.now-g.buckets[last].opened > width {
		g.buckets = append(g.buckets, bucket{first: g.nextSerial, opened: g.now})
	}
	g.buckets[len(g.buckets)-1].last = g.now
	tickets := make([]Ticket, n)
	for i := range tickets {
		tickets[i] = Ticket{Home: g.self, Kind: kind, Serial: g.nextSerial}
		g.nextSerial++
	}
	return tickets
}

// ticketCount returns the number of minted serials that have not been dropped.
func (g *Gate) ticketCount() int {
	if len(g.buckets) == 0 {
		return 0
	}
	return int(g.nextSerial - g.buckets[0].first)
}

// StartDraining makes Begin refuse new runs permanently. Repeats are answered
// as before.
func (g *Gate) StartDraining() { g.draining = true }

// Size holds the amounts that Config bounds.
type Size struct{ Records, Senders, AnswerBytes, Tickets, Keys int }

// Size returns the amounts in use. Tickets counts the minted serials that have
// not been dropped.
func (g *Gate) Size() Size {
	return Size{len(g.records), len(g.senders), g.answerBytes, g.ticketCount(), len(g.keys)}
}

// advance advances now and activeTime, and drops expired tickets and keys.
func (g *Gate) advance(now time.Duration) {
	if now <= g.now {
		return
	}
	g.activeTime += min(now-g.now, g.cfg.MaxStep)
	g.now = now
	drops := g.cfg.MaxDrops
	for len(g.buckets) > 0 && g.now-g.buckets[0].last >= ticketRetention*g.cfg.TicketLifetime {
		end := g.nextSerial
		if len(g.buckets) > 1 {
			end = g.buckets[1].first
		}
		for first := &g.buckets[0].first; *first < end; *first++ {
			if drops--; drops < 0 {
				return
			}
			if e, ok := g.tickets[*first]; ok {
				delete(g.tickets, *first)
				g.release(e)
			}
		}
		g.buckets = g.buckets[1:]
	}
	for front := g.finishedKeys.Front(); front != nil; front = g.finishedKeys.Front() {
		k := front.Value.(finishedKey)
		if drops--; drops < 0 || g.activeTime-k.ended < g.cfg.KeyLifetime {
			return
		}
		g.finishedKeys.Remove(front)
		e := g.keys[k.id]
		delete(g.keys, k.id)
		g.release(e)
	}
}

// validSequence excludes MaxUint64, so that every valid sequence can be below a
// watermark.
func validSequence(seq uint64) bool { return seq > 0 && seq < math.MaxUint64 }

func (r *record) decision() Decision {
	switch {
	case r.execution != nil:
		return r.execution.decision()
	case r.reason != resolver.ReasonNone:
		return Indeterminate{r.reason}
	default:
		return Refuse{resolver.ReasonVoided}
	}
}

func (r *record) voidDecision() VoidDecision {
	switch d := r.decision().(type) {
	case Refuse:
		return Voided{}
	case Join:
		return Running{}
	case Replay:
		return Done(d)
	case Indeterminate:
		return Settled{}
	case Start:
		panic("a recorded attempt never starts")
	}
	return Settled{}
}

func (e *execution) decision() Decision {
	switch {
	case e.state == executionRunning:
		return Join{e.leader}
	case e.state == executionWithdrawn:
		return Refuse{resolver.ReasonVoided}
	case e.answer == nil:
		return Indeterminate{resolver.ReasonSettled}
	default:
		return Replay{*e.answer}
	}
}
