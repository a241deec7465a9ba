package gatekeeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/resolver"
)

var testSelf = Incarnation{"numerator", "a:1", 7}

// TestBegin guards against an attempt that may run and is not started, and
// against a repeat that gets a weaker decision than the gate could give.
// TestAtMostOnceSimulation, which checks safety only, does not detect either.
func TestBegin(t *testing.T) {
	const life = time.Minute
	g := New(Config{TicketLifetime: life}, testSelf)
	tickets := g.Mint(0, "kind", 4)
	answer := Answer{Status: 200, Body: []byte("7"), Outcome: resolver.Ran{Status: 200}}
	begin := func(seq uint64, ticket *Ticket, key string) BeginRequest {
		return BeginRequest{ID: AttemptID{1, seq}, Target: testSelf, Kind: "kind", Ticket: ticket, Key: key}
	}
	other := begin(8, &tickets[2], "")
	other.Kind = "other"
	leader := AttemptID{1, 1}
	var late Ticket
	for _, step := range []struct {
		name string
		at   time.Duration
		do   func()
		b    BeginRequest
		want Decision
	}{
		{"unused ticket", 0, nil, begin(1, &tickets[0], ""), Start{}},
		{"repeat while running", 0, nil, begin(2, &tickets[0], ""), Join{leader}},
		{"withdrawn leader", 0, func() { g.Withdraw(0, leader) }, begin(1, &tickets[0], ""), Refuse{resolver.ReasonVoided}},
		{"withdrawn follower", 0, nil, begin(2, &tickets[0], ""), Refuse{resolver.ReasonVoided}},
		{"ticket after withdrawal", 0, nil, begin(3, &tickets[0], ""), Start{}},
		{"repeat after the run", 0, func() { g.Finish(0, AttemptID{1, 3}, answer) }, begin(4, &tickets[0], ""), Replay{answer}},
		{"new key", 0, nil, begin(5, nil, "k"), Start{}},
		{"key while running", 0, nil, begin(6, nil, "k"), Join{AttemptID{1, 5}}},
		{"neither ticket nor key", 0, nil, begin(7, nil, ""), Start{}},
		{"ticket of another kind", 0, nil, other, Refuse{resolver.ReasonBadRequest}},
		{"expired unused", life, nil, begin(9, &tickets[1], ""), Refuse{resolver.ReasonTicketExpired}},
		{"expired used", life, nil, begin(10, &tickets[0], ""), Replay{answer}},
		{"unused ticket while draining", life, func() { late = g.Mint(life, "kind", 1)[0]; g.StartDraining() }, begin(11, &late, ""), Refuse{resolver.ReasonDraining}},
		{"repeat while draining", life, nil, begin(12, &tickets[0], ""), Replay{answer}},
		{"bucket dropped", 2 * life, nil, begin(13, &tickets[0], ""), Indeterminate{resolver.ReasonTicketExpired}},
	} {
		if step.do != nil {
			step.do()
		}
		if diff := cmp.Diff(step.want, g.Begin(step.at, step.b)); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", step.name, diff)
		}
	}
}

// TestSequencer guards against a watermark above an unsettled attempt, which
// would make the gate reject an attempt that is still in progress, and against
// one that lags behind, which makes the gate keep records without need.
func TestSequencer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, open := NewSequencer(), map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"next":   func(*rapid.T) { open[s.Next()] = true },
			"settle": func(t *rapid.T) { n := rapid.Uint64Range(0, 20).Draw(t, "n"); s.Settle(n); delete(open, n) },
			"": func(t *rapid.T) {
				want := s.next
				for n := range open {
					want = min(want, n)
				}
				if got := s.SettledBelow(); got != want {
					t.Fatalf("watermark %d, want %d", got, want)
				}
			},
		})
	})
}

// FuzzParseTicket guards against a crash on untrusted header text and against a
// ticket that changes when it is parsed and written again.
func FuzzParseTicket(f *testing.F) {
	text, err := Ticket{testSelf, "kind", 9}.Text()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Add("")
	f.Add("====")
	f.Fuzz(func(t *testing.T, text string) {
		first, err := ParseTicket(text)
		if err != nil {
			return
		}
		again, err := first.Text()
		if err != nil {
			t.Fatalf("write %+v: %v", first, err)
		}
		if second, err := ParseTicket(again); err != nil || second != first {
			t.Fatalf("%+v became %+v: %v", first, second, err)
		}
	})
}

func BenchmarkBeginFinish(b *testing.B) {
	answer := Answer{Status: 200, Body: make([]byte, 512), Outcome: resolver.Ran{Status: 200}}
	for name, lag := range map[string]uint64{"Settled": 100, "Evicted": 1 << 62} {
		for _, ticket := range []bool{false, true} {
			b.Run(name+map[bool]string{true: "Ticket"}[ticket], func(b *testing.B) {
				g := New(Config{}, testSelf)
				b.ReportAllocs()
				for seq := uint64(1); b.Loop(); seq++ {
					now := time.Duration(seq) * 10 * time.Millisecond
					begin := BeginRequest{ID: AttemptID{1, seq}, SettledBelow: max(seq, lag) - lag, Target: testSelf, Kind: "kind"}
					if ticket {
						begin.Ticket = &g.Mint(now, "kind", 1)[0]
					}
					if d := g.Begin(now, begin); d != (Start{}) {
						b.Fatalf("%+v", d)
					}
					g.Finish(now, begin.ID, answer)
				}
			})
		}
	}
}
