package arbiter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/connector"
)

const host = "10.0.0.1"

// member returns an entry for the host that was written at a revision.
func member(instance string, revision int64) connector.Member {
	return connector.Member{
		Instance: instance, Service: "a", Domain: "d", Address: host + ":80", Slots: 9, StartMillis: 1, Written: connector.Position{Revision: revision},
	}
}

// servers returns the instances that count for a service.
func servers(a *Arbiter, service string, members ...connector.Member) []string {
	var out []string
	for _, m := range a.Choose(members).Servers {
		if m.Service == service {
			out = append(out, m.Instance)
		}
	}
	return out
}

// Guards against an entry of another writer that takes the place of a server's own although
// the server contradicts it, and against a successor that gets nothing while the entry of
// its predecessor still exists.
func TestServerDecides(t *testing.T) {
	server, newer := member("i-1", 1), member("i-2", 2)
	draining, other := newer, newer
	draining.Draining, other.Service = true, "b"
	left := server
	left.Draining = true
	refute := func(instances ...string) func(*Arbiter, []connector.Member) {
		return func(a *Arbiter, members []connector.Member) {
			for _, i := range instances {
				a.Refute(host, i)
				a.Choose(members)
			}
		}
	}
	earlierClock := newer
	earlierClock.StartMillis = 0 // The clock of the machine was set back between the runs.
	restarted := newer
	restarted.StartMillis, restarted.Written.Revision = 7, 3
	for _, c := range []struct {
		name          string
		server, newer connector.Member
		// do is what happens between two calls of Choose. want holds what then counts for
		// the services a and b.
		do   func(*Arbiter, []connector.Member)
		want [2][]string
	}{
		{"successor", server, newer, refute(), [2][]string{{"i-2"}, nil}},
		{"successor that states the earlier start", server, earlierClock, refute(), [2][]string{{"i-2"}, nil}},
		{"successor of a server that has left", left, newer, refute(), [2][]string{{"i-2"}, nil}},
		{"foreign entry", server, newer, refute("i-2"), [2][]string{{"i-1"}, nil}},
		{"foreign entry that is refused again and again", server, newer, refute("i-2", "i-2"), [2][]string{{"i-1"}, nil}},
		{"late refusal for the predecessor", server, newer, refute("i-1"), [2][]string{{"i-2"}, nil}},
		{"refusals for both", server, newer, refute("i-2", "i-1"), [2][]string{{"i-2"}, nil}},
		{"draining foreign entry", server, draining, refute(), [2][]string{{"i-1"}, nil}},
		{"draining successor", server, draining, refute("i-1"), [2][]string{{"i-2"}, nil}},
		{"another service, before any refusal", server, other, refute(), [2][]string{{"i-1"}, {"i-2"}}},
		{"foreign entry for another service", server, other, refute("i-2"), [2][]string{{"i-1"}, nil}},
		{"successor of another service", server, other, refute("i-1"), [2][]string{nil, {"i-2"}}},
		{"new run of a refuted instance", server, restarted, func(a *Arbiter, _ []connector.Member) {
			a.Choose([]connector.Member{server, newer})
			a.Refute(host, "i-2")
		}, [2][]string{{"i-2"}, nil}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, members := range [][]connector.Member{{c.server, c.newer}, {c.newer, c.server}} {
				a := New()
				a.Choose(members)
				c.do(a, members)
				got := [2][]string{servers(a, "a", members...), servers(a, "b", members...)}
				if d := cmp.Diff(c.want, got); d != "" {
					t.Errorf("-want +got:\n%s", d)
				}
			}
		})
	}
}

// Guards against evidence that outlives its entry, and against a server whose own entry is
// the only one and that is left out because of a refusal to its predecessor's requests.
func TestEvidenceIsForgotten(t *testing.T) {
	a := New()
	a.Choose([]connector.Member{member("i-1", 1)})
	if a.Refute(host, "i-1") {
		t.Error("the only entry of a machine is refuted")
	}
	a.Choose([]connector.Member{member("i-1", 1), member("i-2", 2)})
	if !a.Refute(host, "i-2") || a.Refute(host, "i-2") || a.Refute("10.0.0.9", "i-2") {
		t.Error("not only the first refusal to the instance that counts changes the choice")
	}
	a.Choose([]connector.Member{member("i-1", 1)})
	if d := cmp.Diff([]string{"i-2"}, servers(a, "a", member("i-1", 1), member("i-2", 5))); d != "" {
		t.Errorf("after the entry came back: -want +got:\n%s", d)
	}
	a.Choose(nil)
	if len(a.byHost) > 0 {
		t.Errorf("evidence of %d machines left, want none", len(a.byHost))
	}
}

// Guards against foreign entries that keep a server from its requests: arbitrary ones at
// its address come, change and go. After one refusal for each run of one at most, the
// server's own entry must count for its service, and no other entry may be left with
// which requests fail.
func TestForeignEntriesBesideServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New()
		server := member("i-server", 50)
		foreign := make(map[string]connector.Member)
		refused := make(map[string]bool)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "foreign entry"))
			delete(foreign, id)
			for run := range refused {
				if strings.HasPrefix(run, id+" ") {
					delete(refused, run) // An entry that has gone may come back as another's.
				}
			}
			if rapid.Bool().Draw(t, "written") {
				m := member(id, rapid.Int64Range(1, 100).Draw(t, "revision"))
				m.Service = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				m.Domain = rapid.SampledFrom([]string{"d", "e"}).Draw(t, "domain")
				m.Draining = rapid.Bool().Draw(t, "draining")
				m.StartMillis = int64(rapid.IntRange(1, 2).Draw(t, "start"))
				foreign[id] = m
			}
			members := append(slices.Collect(maps.Values(foreign)), server)
			for again := true; again; {
				again = false
				for _, m := range a.Choose(members).Servers {
					if m.Instance == server.Instance || m.Draining {
						continue // Its requests are served, or there are none.
					}
					run := fmt.Sprint(m.Instance, " ", m.StartMillis)
					if refused[run] {
						t.Fatalf("%s counts again after a refusal", run)
					}
					refused[run], again = true, true
					a.Refute(host, m.Instance)
				}
			}
			if got := servers(a, "a", members...); !slices.Equal(got, []string{server.Instance}) {
				t.Fatalf("%v count for the server's service", got)
			}
		}
	})
}
