package composer

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocustack/core/connector"
	"crocustack/platform/standin"
)

// TestOddEntries guards against an entry of another writer among those of the backend
// servers that harms more than itself: nodes that end, stop following the store, or send
// nothing to the servers beside it. Nodes meet it in a change and, after a restart, in a
// list.
func TestOddEntries(t *testing.T) {
	f := newFleet(t, "s", "s")
	for _, m := range f.machines {
		m.backend.Latency = 10 * time.Millisecond
	}
	at := func(i int, port string) string { return net.JoinHostPort(f.machines[i].address, port) }
	entry := func(address, service, slots, more string) string {
		return fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"zone":"d","version":"v","slots":%s},"status":{"state":"ready","seq":1,"warmupLeft":"0ms"}%s}`,
			address, service, slots, more)
	}
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	huge := strings.Repeat("9", 400)
	cases := []struct{ name, key, value string }{
		{"deeply nested value", "odd", nested},
		{"deeply nested field", "odd", entry(at(0, f.app), "s", "20", `,"more":`+nested)},
		{"deeply nested objects", "odd", strings.Repeat(`{"info":`, 100_000) + "1" + strings.Repeat("}", 100_000)},
		{"slots too large", "odd", entry(at(0, f.app), "s", huge, "")},
		{"most slots", "odd", entry(at(0, f.app), "s", "9223372036854775807", "")},
		{"slots with an exponent", "odd", entry(at(0, f.app), "s", "1e999", "")},
		{"negative slots", "odd", entry(at(0, f.app), "s", "-1", "")},
		{"born too large", "odd", strings.Replace(entry(at(0, f.app), "s", "20", ""), `"born":1`, `"born":`+huge, 1)},
		{"seq too large", "odd", strings.Replace(entry(at(0, f.app), "s", "20", ""), `"seq":1`, `"seq":1e300`, 1)},
		{"warm-up too long", "odd", strings.Replace(entry(at(0, f.app), "s", "20", ""), `"0ms"`, `"`+huge+`s"`, 1)},
		{"port out of range", "odd", entry(at(0, "65536"), "s", "20", "")},
		{"port too large", "odd", entry(at(0, huge), "s", "20", "")},
		{"port 0", "odd", entry(at(0, "0"), "s", "20", "")},
		{"negative port", "odd", entry(at(0, "-1"), "s", "20", "")},
		{"port missing", "odd", entry(f.machines[0].address, "s", "20", "")},
		{"name for an address", "odd", entry("localhost:80", "s", "20", "")},
		{"no address", "odd", entry("", "s", "20", "")},
		{"service that is not named, at a server's machine", "odd", entry(at(0, "9100"), "agent", "1", "")},
		{"service that is not named, at a server's address", "odd", entry(at(0, f.app), "agent", "1", "")},
		{"state that is not named", "odd", strings.Replace(entry(at(0, f.app), "s", "20", ""), "ready", "odd", 1)},
		{"field of another type", "odd", `{"address":7,"info":[],"status":"ready"}`},
		{"not an object", "odd", `"ready"`},
		{"null", "odd", "null"},
		{"no JSON", "odd", "\x00\xff{"},
		{"empty", "odd", ""},
		{"two values", "odd", "{}{}"},
		{"odd key", "\xff\x00/../..//é", "{}"},
		{"long key", strings.Repeat("k", 190), "{}"},
		{"no id", "", entry(at(0, f.app), "s", "20", "")},
	}
	for i, c := range cases {
		// An entry that comes back is not used for some time, so that each has its own key.
		key := strings.Replace("servers/"+c.key, "odd", fmt.Sprint("odd-", i), 1)
		t.Run(c.name, func(t *testing.T) {
			f.store.Put(key, []byte(c.value))
			f.followed(t, fmt.Sprint("followed-", i))
		})
		f.store.Remove(key)
	}
	for i, c := range cases {
		f.store.Put(strings.Replace("servers/"+c.key, "odd", fmt.Sprint("listed-", i), 1), []byte(c.value))
	}
	f.machines[0].stop()
	<-f.machines[0].ended
	f.start(f.machines[0])
	f.eventually("a ready node after the restart", func() bool { return standin.Ready(at(0, f.ready)) })
	f.followed(t, "listed")
}

// TestForeignEntryAtServer guards against a server that gets nothing because an entry that
// could be a server's in every field names its address: the newest entry counted, and the
// server refused each request as meant for another one. Such entries are there when the
// nodes start, come and go while they run, are written again and again, and wait for their
// service to be added.
func TestForeignEntryAtServer(t *testing.T) {
	f := newFleet(t, "s", "s", "other")
	for _, m := range f.machines {
		m.backend.Latency = 10 * time.Millisecond
	}
	foreign := connector.Member{Service: "s", Address: net.JoinHostPort(f.machines[0].address, f.app), Domain: "d", Slots: 20, StartMillis: 5}
	otherService, otherDomain, fewSlots, draining, otherPort, added := foreign, foreign, foreign, foreign, foreign, foreign
	otherService.Service, otherDomain.Domain, fewSlots.Slots, draining.Draining = "other", "e", 1, true
	otherPort.Address = net.JoinHostPort(f.machines[0].address, "9100")
	added.Service = "added"
	cases := []struct {
		name   string
		member connector.Member
	}{
		{"nothing else odd", foreign},
		{"another service", otherService},
		{"another domain", otherDomain},
		{"fewer slots", fewSlots},
		{"draining", draining},
		{"another port", otherPort},
		{"service that is added", added},
	}
	write := func(m connector.Member, instance string) {
		m.Instance = instance
		f.store.Register(m)
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id := fmt.Sprint("foreign-", i)
			write(c.member, id)
			f.services = append(f.services, c.member.Service)
			f.followed(t, "comes-"+fmt.Sprint(i))
			again := c.member
			again.Slots++
			write(again, id)
			f.followed(t, "again-"+fmt.Sprint(i))
			f.store.Deregister(id)
		})
	}
	for i, c := range cases {
		write(c.member, fmt.Sprint("listed-", i))
	}
	for _, m := range f.machines {
		m.stop()
	}
	for _, m := range f.machines {
		<-m.ended
		f.start(m)
	}
	for _, m := range f.machines {
		f.eventually("a ready node after the restart", func() bool { return standin.Ready(net.JoinHostPort(m.address, f.ready)) })
	}
	f.followed(t, "listed")
}

// followed publishes a route and checks that all nodes follow it and that all servers of
// its service get requests on it.
func (f *fleet) followed(t *testing.T, name string) {
	t.Helper()
	const (
		wait   = 3 * time.Second
		atOnce = 20 // So many that they are divided among the servers.
	)
	f.publishRoutes(connector.Route{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Timeout: wait, MaxAttempts: 2, Shares: []connector.Share{{Service: "s", Weight: 1}}},
		connector.Route{Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: true, Timeout: wait, MaxAttempts: 2, Shares: []connector.Share{{Service: "s", Weight: 1}}})
	for i := range f.machines {
		var mu sync.Mutex
		servers, statuses := make(map[string]bool), make(map[int]int)
		for end := time.Now().Add(wait); len(servers) < f.count("s") && time.Now().Before(end); {
			var sent sync.WaitGroup
			for n := range atOnce {
				id := fmt.Sprint(name, "-", i, "-", n)
				sent.Go(func() {
					got := f.send(i, standin.Request{ID: id, Method: http.MethodGet, Target: "/" + name + "/x"})
					mu.Lock()
					defer mu.Unlock()
					statuses[got.Status]++
					if got.Status == http.StatusOK {
						servers[strings.TrimSuffix(got.Body, " answers "+id)] = true
					}
				})
			}
			sent.Wait()
		}
		if len(servers) < f.count("s") {
			t.Errorf("through node %d, only the servers %v got requests on the new route; statuses %v", i, servers, statuses)
		}
	}
}

// count returns the number of machines whose server is of a service.
func (f *fleet) count(service string) int {
	n := 0
	for _, m := range f.machines {
		if m.service == service {
			n++
		}
	}
	return n
}
