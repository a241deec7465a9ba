package gatekeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/resolver"
)

// worldConfig is small enough that every bound is reached within a few steps.
var worldConfig = Config{
	MaxRecords: 6, MaxSenders: 5, MaxAnswerBytes: 3 * (answerOverhead + 8), MaxBytesPerAnswer: answerOverhead + 8,
	MaxTickets: 8, TicketLifetime: 20 * time.Second, MaxKeys: 3, MaxKeyLength: 4,
	KeyLifetime: 3 * time.Second, MaxStep: 300 * time.Millisecond, MaxDrops: 1,
}

// message is a Begin or, if void is set, a Void in transit.
type message struct {
	BeginRequest
	void   bool
	sender *Sequencer
	// sent is the active time of sending. A message with a key is lost after
	// half of KeyLifetime, because the link that carries it is closed by then.
	sent time.Duration
}

type testKey struct {
	name string
	born time.Duration
}

// world simulates gates, senders and a network that delays, repeats, reorders
// and loses messages. It records which attempts ran and what was reported.
type world struct {
	gate            *Gate
	self            Incarnation
	homes           []Incarnation
	now, activeTime time.Duration
	boots           []uint64
	sequencers      []*Sequencer
	network         []message
	sent            []message // Every Begin ever sent, for repeats and voids.
	tickets         []Ticket
	keys            []testKey
	running         []AttemptID        // Runs of the current gate.
	ran             map[AttemptID]bool // Started and not withdrawn.
	denied          map[AttemptID]bool // Reported NotRun or Voided.
	answered        map[AttemptID]bool // Got Replay, or Indeterminate from the target.
	leaders         map[string]AttemptID
	names           map[AttemptID][]string
	joined          map[AttemptID][]AttemptID
	answers         map[AttemptID]Answer
	seen            map[string]int
}

// identities returns the names under which a run may happen only once.
func (w *world) identities(b BeginRequest) []string {
	names := []string{fmt.Sprint("attempt ", b.ID)}
	if b.Ticket != nil {
		names = append(names, fmt.Sprint("ticket ", b.Ticket.Home, b.Ticket.Serial))
	} else if b.Key != "" {
		names = append(names, fmt.Sprint("key ", w.self, b.Kind, b.Key))
	}
	return names
}

func (w *world) deny(t *rapid.T, id AttemptID) {
	if w.ran[id] {
		t.Fatalf("%v reported as not run, but it ran", id)
	}
	w.denied[id] = true
}

func (w *world) checkAnswer(t *rapid.T, b BeginRequest, got Answer) {
	for _, name := range w.identities(b) {
		if leader, ok := w.leaders[name]; ok {
			if diff := cmp.Diff(w.answers[leader], got); diff != "" {
				t.Fatalf("%s: replay differs from the answer of the first run: %s", name, diff)
			}
			return
		}
	}
	t.Fatalf("%v got an answer, but nothing ran", b.ID)
}

func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	m := w.network[i]
	if late := m.Key != "" && w.activeTime-m.sent > worldConfig.KeyLifetime/2; late || rapid.IntRange(0, 2).Draw(t, "repeat") > 0 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
		if late {
			return
		}
	}
	id := m.ID
	if m.void {
		d := w.gate.Void(w.now, id, m.Target)
		w.seen[fmt.Sprintf("%T", d)]++
		switch d := d.(type) {
		case Voided:
			if w.answered[id] {
				t.Fatalf("%v voided after it was answered with Replay or Indeterminate", id)
			}
			w.deny(t, id)
		case Done:
			w.checkAnswer(t, m.BeginRequest, d.Answer)
		case Running, Settled, Foreign:
		}
		return
	}
	m.SettledBelow = min(m.sender.SettledBelow(), id.Sequence)
	d := w.gate.Begin(w.now, m.BeginRequest)
	w.seen[fmt.Sprintf("%T", d)]++
	switch d := d.(type) {
	case Start:
		if w.denied[id] {
			t.Fatalf("%v started after it was reported as not run", id)
		}
		for _, name := range w.identities(m.BeginRequest) {
			if _, ok := w.leaders[name]; ok {
				t.Fatalf("%s started twice", name)
			}
			w.leaders[name] = id
			w.names[id] = append(w.names[id], name)
		}
		w.ran[id] = true
		w.running = append(w.running, id)
	case Refuse:
		w.seen[d.Reason.String()]++
		for _, name := range w.identities(m.BeginRequest) {
			if _, ok := w.leaders[name]; ok && d.Reason != resolver.ReasonVoided {
				t.Fatalf("%s refused for %v, but it ran", name, d.Reason)
			}
		}
		w.deny(t, id)
	case Join:
		if _, done := w.answers[d.Leader]; done || !w.ran[d.Leader] {
			t.Fatalf("%v joined %v, which is not running", id, d.Leader)
		}
		if d.Leader != id {
			w.joined[d.Leader] = append(w.joined[d.Leader], id)
		}
	case Replay:
		w.checkAnswer(t, m.BeginRequest, d.Answer)
		w.answered[id] = true
	case Indeterminate:
		w.seen[d.Reason.String()]++
		w.answered[id] = w.answered[id] || m.Target == w.self
	}
}

func (w *world) send(t *rapid.T, b BeginRequest) {
	i := rapid.IntRange(0, len(w.boots)-1).Draw(t, "sender")
	b.ID, b.Target, b.Kind = AttemptID{w.boots[i], w.sequencers[i].Next()}, w.self, "kind"
	m := message{BeginRequest: b, sender: w.sequencers[i], sent: w.activeTime}
	w.network, w.sent = append(w.network, m), append(w.sent, m)
}

func (w *world) replaceGate(*rapid.T) {
	w.self = Incarnation{"numerator", "a:1", w.self.BootID + 1}
	w.homes = append(w.homes, w.self)
	w.gate, w.running = New(worldConfig, w.self), nil
}

func (w *world) replaceSender(t *rapid.T) {
	i := rapid.IntRange(0, len(w.boots)-1).Draw(t, "sender")
	w.boots[i], w.sequencers[i] = w.boots[i]+2, NewSequencer()
}

func (w *world) takeRunning(t *rapid.T) AttemptID {
	if len(w.running) == 0 {
		t.Skip("no attempt is running")
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "run")
	id := w.running[i]
	w.running = append(w.running[:i:i], w.running[i+1:]...)
	return id
}

func (w *world) pass(d time.Duration) {
	w.now += d
	w.activeTime += min(d, worldConfig.MaxStep)
	w.gate.Void(w.now, AttemptID{}, Incarnation{}) // Returns Foreign and only advances the clock.
}

func (w *world) actions() map[string]func(*rapid.T) {
	anySent := func(t *rapid.T) message {
		if len(w.sent) == 0 {
			t.Skip("nothing sent")
		}
		return rapid.SampledFrom(w.sent).Draw(t, "sent")
	}
	sendTicket := func(t *rapid.T) {
		if len(w.tickets) == 0 {
			t.Skip("no ticket")
		}
		ticket := rapid.SampledFrom(w.tickets[max(0, len(w.tickets)-6):]).Draw(t, "ticket")
		w.send(t, BeginRequest{Ticket: &ticket})
	}
	return map[string]func(*rapid.T){
		"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver, "deliver4": w.deliver,
		"ticket": sendTicket, "ticket2": sendTicket,
		"plain": func(t *rapid.T) { w.send(t, BeginRequest{}) },
		"key": func(t *rapid.T) {
			if len(w.keys) == 0 || rapid.Bool().Draw(t, "new") {
				w.keys = append(w.keys, testKey{fmt.Sprint(len(w.keys)), w.activeTime})
			}
			k := rapid.SampledFrom(w.keys).Draw(t, "key")
			if w.activeTime-k.born > worldConfig.KeyLifetime/2 {
				t.Skip("callers no longer repeat the key")
			}
			w.send(t, BeginRequest{Key: k.name})
		},
		"void": func(t *rapid.T) {
			m := anySent(t)
			m.void, m.sent = true, w.activeTime
			w.network = append(w.network, m)
		},
		"settle": func(t *rapid.T) { m := anySent(t); m.sender.Settle(m.ID.Sequence) },
		"mint":   func(t *rapid.T) { w.tickets = append(w.tickets, w.gate.Mint(w.now, "kind", 2)...) },
		"finish": func(t *rapid.T) {
			id := w.takeRunning(t)
			body := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "body") // 9 bytes exceed MaxBytesPerAnswer.
			w.answers[id] = Answer{Status: 200, Body: body, Outcome: resolver.Ran{Status: 200}}
			w.gate.Finish(w.now, id, w.answers[id])
		},
		"withdraw": func(t *rapid.T) {
			id := w.takeRunning(t)
			w.gate.Withdraw(w.now, id)
			delete(w.ran, id)
			for _, name := range w.names[id] {
				delete(w.leaders, name)
			}
			for _, id := range append(w.joined[id], id) {
				w.deny(t, id)
			}
		},
		"time":  func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"pause": func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second) },
		"replace": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "gate") == 0 {
				w.replaceGate(t)
			} else {
				w.replaceSender(t)
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				w.gate.StartDraining()
			}
		},
		"": func(t *rapid.T) {
			s, c := w.gate.Size(), worldConfig
			if s.Records > c.MaxRecords || s.Senders > c.MaxSenders || s.AnswerBytes > c.MaxAnswerBytes ||
				s.Tickets > c.MaxTickets || s.Keys > c.MaxKeys {
				t.Fatalf("limit exceeded: %+v", s)
			}
		},
	}
}

// TestWorld guards P4 and P5: it fails on a second run of an attempt, ticket or
// key, a run after a report of "not run", an altered replay and memory above a
// limit, with messages that are delayed, repeated, reordered and lost while
// gates and senders are replaced.
func TestWorld(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			boots: []uint64{1, 2}, sequencers: []*Sequencer{NewSequencer(), NewSequencer()},
			ran: make(map[AttemptID]bool), denied: make(map[AttemptID]bool), answered: make(map[AttemptID]bool), seen: seen,
			leaders: make(map[string]AttemptID), names: make(map[AttemptID][]string),
			joined: make(map[AttemptID][]AttemptID), answers: make(map[AttemptID]Answer),
		}
		w.replaceGate(t)
		for range 10 { // About 300 steps, so that each case replaces the gate several times.
			t.Repeat(w.actions())
		}
	})
	t.Log(seen)
	for _, want := range []any{
		Start{}, Refuse{}, Replay{}, Join{}, Indeterminate{}, Voided{}, Running{}, Done{}, Settled{}, Foreign{},
		resolver.ReasonSettled, resolver.ReasonVoided, resolver.ReasonBufferFull, resolver.ReasonDraining,
		resolver.ReasonTicketExpired, resolver.ReasonTicketForeign, resolver.ReasonWrongIncarnation,
	} {
		name := fmt.Sprintf("%T", want)
		if r, ok := want.(resolver.Reason); ok {
			name = r.String()
		}
		if seen[name] == 0 {
			t.Errorf("%s was never reached, so its rules were not checked", name)
		}
	}
}
