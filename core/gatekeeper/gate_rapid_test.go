package gatekeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/resolver"
)

// simulationConfig is small enough that every bound is reached within a few
// steps.
var simulationConfig = Config{
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
	name    string
	created time.Duration
}

// simulation holds a gate, senders and a network that delays, repeats, reorders
// and loses messages. It records which attempts ran and what was reported.
type simulation struct {
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
	running         []AttemptID          // Runs of the current gate.
	ran             map[AttemptID]bool   // Started and not withdrawn.
	reportedNotRun  map[AttemptID]bool   // Reported NotRun or Voided.
	answered        map[AttemptID]bool   // Got Replay, or Indeterminate from the target.
	leaders         map[string]AttemptID // The run of each name that identities returns.
	names           map[AttemptID][]string
	joined          map[AttemptID][]AttemptID
	answers         map[AttemptID]Answer
	seen            map[string]int
}

// identities returns the names under which a run may happen only once.
func (s *simulation) identities(b BeginRequest) []string {
	names := []string{fmt.Sprint("attempt ", b.ID)}
	if b.Ticket != nil {
		names = append(names, fmt.Sprint("ticket ", b.Ticket.Home, b.Ticket.Serial))
	} else if b.Key != "" {
		names = append(names, fmt.Sprint("key ", s.self, b.Kind, b.Key))
	}
	return names
}

func (s *simulation) reportNotRun(t *rapid.T, id AttemptID) {
	if s.ran[id] {
		t.Fatalf("%v reported as not run, but it ran", id)
	}
	s.reportedNotRun[id] = true
}

func (s *simulation) checkAnswer(t *rapid.T, b BeginRequest, got Answer) {
	for _, name := range s.identities(b) {
		if leader, ok := s.leaders[name]; ok {
			if diff := cmp.Diff(s.answers[leader], got); diff != "" {
				t.Fatalf("%s: replay differs from the answer of the first run: %s", name, diff)
			}
			return
		}
	}
	t.Fatalf("%v got an answer, but nothing ran", b.ID)
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	m := s.network[i]
	if late := m.Key != "" && s.activeTime-m.sent > simulationConfig.KeyLifetime/2; late || rapid.IntRange(0, 2).Draw(t, "repeat") > 0 {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
		if late {
			return
		}
	}
	id := m.ID
	if m.void {
		d := s.gate.Void(s.now, id, m.Target)
		s.seen[fmt.Sprintf("%T", d)]++
		switch d := d.(type) {
		case Voided:
			if s.answered[id] {
				t.Fatalf("%v voided after it was answered with Replay or Indeterminate", id)
			}
			s.reportNotRun(t, id)
		case Done:
			s.checkAnswer(t, m.BeginRequest, d.Answer)
		case Running, Settled, Foreign:
		}
		return
	}
	m.SettledBelow = min(m.sender.SettledBelow(), id.Sequence)
	d := s.gate.Begin(s.now, m.BeginRequest)
	s.seen[fmt.Sprintf("%T", d)]++
	switch d := d.(type) {
	case Start:
		if s.reportedNotRun[id] {
			t.Fatalf("%v started after it was reported as not run", id)
		}
		for _, name := range s.identities(m.BeginRequest) {
			if _, ok := s.leaders[name]; ok {
				t.Fatalf("%s started twice", name)
			}
			s.leaders[name] = id
			s.names[id] = append(s.names[id], name)
		}
		s.ran[id] = true
		s.running = append(s.running, id)
	case Refuse:
		s.seen[d.Reason.String()]++
		for _, name := range s.identities(m.BeginRequest) {
			if _, ok := s.leaders[name]; ok && d.Reason != resolver.ReasonVoided {
				t.Fatalf("%s refused for %v, but it ran", name, d.Reason)
			}
		}
		s.reportNotRun(t, id)
	case Join:
		if _, done := s.answers[d.Leader]; done || !s.ran[d.Leader] {
			t.Fatalf("%v joined %v, which is not running", id, d.Leader)
		}
		if d.Leader != id {
			s.joined[d.Leader] = append(s.joined[d.Leader], id)
		}
	case Replay:
		s.checkAnswer(t, m.BeginRequest, d.Answer)
		s.answered[id] = true
	case Indeterminate:
		s.seen[d.Reason.String()]++
		s.answered[id] = s.answered[id] || m.Target == s.self
	}
}

func (s *simulation) send(t *rapid.T, b BeginRequest) {
	i := rapid.IntRange(0, len(s.boots)-1).Draw(t, "sender")
	b.ID, b.Target, b.Kind = AttemptID{s.boots[i], s.sequencers[i].Next()}, s.self, "kind"
	m := message{BeginRequest: b, sender: s.sequencers[i], sent: s.activeTime}
	s.network, s.sent = append(s.network, m), append(s.sent, m)
}

func (s *simulation) replaceGate(*rapid.T) {
	s.self = Incarnation{"numerator", "a:1", s.self.BootID + 1}
	s.homes = append(s.homes, s.self)
	s.gate, s.running = New(simulationConfig, s.self), nil
}

func (s *simulation) replaceSender(t *rapid.T) {
	i := rapid.IntRange(0, len(s.boots)-1).Draw(t, "sender")
	s.boots[i], s.sequencers[i] = s.boots[i]+2, NewSequencer()
}

func (s *simulation) takeRunning(t *rapid.T) AttemptID {
	if len(s.running) == 0 {
		t.Skip("no attempt is running")
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(t, "run")
	id := s.running[i]
	s.running = append(s.running[:i:i], s.running[i+1:]...)
	return id
}

func (s *simulation) advance(d time.Duration) {
	s.now += d
	s.activeTime += min(d, simulationConfig.MaxStep)
	s.gate.Void(s.now, AttemptID{}, Incarnation{}) // Returns Foreign and only advances the clock.
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	anySent := func(t *rapid.T) message {
		if len(s.sent) == 0 {
			t.Skip("nothing sent")
		}
		return rapid.SampledFrom(s.sent).Draw(t, "sent")
	}
	sendTicket := func(t *rapid.T) {
		if len(s.tickets) == 0 {
			t.Skip("no ticket")
		}
		ticket := rapid.SampledFrom(s.tickets[max(0, len(s.tickets)-6):]).Draw(t, "ticket")
		s.send(t, BeginRequest{Ticket: &ticket})
	}
	return map[string]func(*rapid.T){
		"deliver": s.deliver, "deliver2": s.deliver, "deliver3": s.deliver, "deliver4": s.deliver,
		"ticket": sendTicket, "ticket2": sendTicket,
		"plain": func(t *rapid.T) { s.send(t, BeginRequest{}) },
		"key": func(t *rapid.T) {
			if len(s.keys) == 0 || rapid.Bool().Draw(t, "new") {
				s.keys = append(s.keys, testKey{fmt.Sprint(len(s.keys)), s.activeTime})
			}
			k := rapid.SampledFrom(s.keys).Draw(t, "key")
			if s.activeTime-k.created > simulationConfig.KeyLifetime/2 {
				t.Skip("callers no longer repeat the key")
			}
			s.send(t, BeginRequest{Key: k.name})
		},
		"void": func(t *rapid.T) {
			m := anySent(t)
			m.void, m.sent = true, s.activeTime
			s.network = append(s.network, m)
		},
		"settle": func(t *rapid.T) { m := anySent(t); m.sender.Settle(m.ID.Sequence) },
		"mint":   func(t *rapid.T) { s.tickets = append(s.tickets, s.gate.Mint(s.now, "kind", 2)...) },
		"finish": func(t *rapid.T) {
			id := s.takeRunning(t)
			body := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "body") // 9 bytes exceed MaxBytesPerAnswer.
			s.answers[id] = Answer{Status: 200, Body: body, Outcome: resolver.Ran{Status: 200}}
			s.gate.Finish(s.now, id, s.answers[id])
		},
		"withdraw": func(t *rapid.T) {
			id := s.takeRunning(t)
			s.gate.Withdraw(s.now, id)
			delete(s.ran, id)
			for _, name := range s.names[id] {
				delete(s.leaders, name)
			}
			for _, id := range append(s.joined[id], id) {
				s.reportNotRun(t, id)
			}
		},
		"time":  func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"pause": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second) },
		"replace": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "gate") == 0 {
				s.replaceGate(t)
			} else {
				s.replaceSender(t)
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				s.gate.StartDraining()
			}
		},
		"": func(t *rapid.T) {
			size, c := s.gate.Size(), simulationConfig
			if size.Records > c.MaxRecords || size.Senders > c.MaxSenders || size.AnswerBytes > c.MaxAnswerBytes ||
				size.Tickets > c.MaxTickets || size.Keys > c.MaxKeys {
				t.Fatalf("limit exceeded: %+v", size)
			}
		},
	}
}

// TestAtMostOnceSimulation guards P4 and P5: it fails on a second run of an
// attempt, ticket or key, a run after a report of "not run", an altered replay
// and memory above a limit, with messages that are delayed, repeated, reordered
// and lost while gates and senders are replaced.
func TestAtMostOnceSimulation(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			boots: []uint64{1, 2}, sequencers: []*Sequencer{NewSequencer(), NewSequencer()},
			ran: make(map[AttemptID]bool), reportedNotRun: make(map[AttemptID]bool), answered: make(map[AttemptID]bool), seen: seen,
			leaders: make(map[string]AttemptID), names: make(map[AttemptID][]string),
			joined: make(map[AttemptID][]AttemptID), answers: make(map[AttemptID]Answer),
		}
		s.replaceGate(t)
		for range 10 { // About 300 steps, so that each case replaces the gate several times.
			t.Repeat(s.actions())
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
