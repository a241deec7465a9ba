package composer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"crocustack/core/configurer"
	"crocustack/core/connector"
	"crocustack/platform/standin"
)

const host = "a.example"

// machine is a machine of the stand-in platform with a backend server and a
// node.
type machine struct {
	t       *testing.T
	address string // IP address.
	service string
	backend *standin.Backend
	process *standin.Process
	// stop shuts the node down as SIGTERM does. ended is closed when it has ended.
	stop  context.CancelFunc
	ended chan struct{}
}

// fleet is a running stand-in platform.
type fleet struct {
	t        *testing.T
	store    *standin.Store
	storeURL string
	// ports are the same on all machines.
	link, outbound, ready, admin, app string
	machines                          []*machine
	version                           int64
	// bodyBytes is the limit of request bodies that configurations state; 0 for none.
	bodyBytes int64
	// services holds the services that configurations name besides s and other.
	services []string
	// requests counts requests, for ids.
	requests int
}

// freePorts returns n different ports that were free at the time of the call.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var ports []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports
}

// newFleet starts a machine for each service in the list.
func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	p := freePorts(t, 5)
	f := &fleet{t: t, store: standin.NewStore(), link: p[0], outbound: p[1], ready: p[2], admin: p[3], app: p[4]}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeURL = server.URL
	f.publish(connector.Share{Service: services[0], Weight: 1})
	for i, service := range services {
		m := &machine{t: t, address: fmt.Sprintf("127.0.77.%d", i+1), service: service, backend: standin.NewBackend(fmt.Sprintf("i-%d", i+1))}
		var err error
		if m.process, err = standin.StartProcess(m.backend, fmt.Sprintf("i-%d", i+1), net.JoinHostPort(m.address, f.app), downtime, f.restarted(i)); err != nil {
			t.Skipf("no further loopback address: %v", err)
		}
		t.Cleanup(m.process.Close)
		f.machines = append(f.machines, m)
		f.register(i, connector.Member{})
		f.start(m)
	}
	for _, m := range f.machines {
		f.eventually("a ready node at "+m.address, func() bool { return standin.Ready(net.JoinHostPort(m.address, f.ready)) })
	}
	f.eventually("an answer", func() bool { return f.get(0, "first").Status == http.StatusOK })
	// The nodes drain side by side, not one after the other.
	t.Cleanup(func() {
		for _, m := range f.machines {
			m.stop()
		}
	})
	return f
}

// downtime is the time from the end of a backend server to its next start.
const downtime = 700 * time.Millisecond

// restarted returns the function that replaces the entry of a machine's backend
// server when it has started again as a new instance.
func (f *fleet) restarted(i int) func(before, now string) {
	return func(before, now string) {
		f.store.Deregister(before)
		f.register(i, memberRun(now, time.Now().UnixMilli()))
	}
}

// publish writes a new configuration whose routes lead to the given services.
func (f *fleet) publish(shares ...connector.Share) {
	f.publishRoutes(
		connector.Route{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 2, Shares: shares},
		connector.Route{Name: "once", Host: host, Prefix: "/once/", Idempotent: true, Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 1, Shares: shares},
		connector.Route{Name: "write", Host: host, Prefix: "/write/", Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 2, Shares: shares},
	)
}

// publishRoutes writes a new configuration with the given routes.
func (f *fleet) publishRoutes(routes ...connector.Route) {
	f.version++
	services := map[string]connector.Service{"s": {Name: "s"}, "other": {Name: "other"}}
	for _, name := range f.services {
		services[name] = connector.Service{Name: name}
	}
	f.store.Publish(connector.Config{
		Version: f.version, Routes: routes, Services: services,
		Limits: connector.Limits{BodyBytes: f.bodyBytes},
	})
}

// register writes the store entry of a machine's backend server. It takes
// Draining and Sequence from change, and Instance and Born if change states an
// instance.
func (f *fleet) register(i int, change connector.Member) {
	m := f.machines[i]
	entry := connector.Member{
		Instance: fmt.Sprintf("i-%d", i+1), Service: m.service, Address: net.JoinHostPort(m.address, f.app), Domain: "d",
		Slots: 20, StartMillis: 1, Draining: change.Draining, Sequence: change.Sequence,
	}
	if change.Instance != "" {
		entry.Instance, entry.StartMillis = change.Instance, change.StartMillis
	}
	f.store.Register(entry)
}

// memberRun returns the run of an instance that started at the given time in Unix
// milliseconds, for register.
func memberRun(instance string, startMillis int64) connector.Member {
	return connector.Member{Instance: instance, StartMillis: startMillis}
}

func (f *fleet) start(m *machine) {
	f.t.Helper()
	at := func(port string) string { return net.JoinHostPort(m.address, port) }
	cfg := configurer.Defaults()
	cfg.Node = configurer.Node{Service: m.service, Domain: "d", Region: "r", Link: at(f.link), Outbound: at(f.outbound), Ready: at(f.ready), Admin: at(f.admin)}
	cfg.Backend.URL = "http://" + at(f.app)
	cfg.Platform = configurer.Platform{URL: f.storeURL, Hosted: true, Bounds: []string{"grace=6s", "drain=2s", "retryBudgetRatio=0.2", "retryBudgetSlack=40"}}
	n, err := New(cfg, io.Discard)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.ended = cancel, make(chan struct{})
	go func() {
		defer close(m.ended)
		if err := n.Run(ctx); err != nil {
			f.t.Errorf("node at %s: %v", m.address, err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-m.ended
	})
}

// eventually waits up to 15 s until done returns true.
func (f *fleet) eventually(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); !done(); {
		if time.Now().After(end) {
			f.t.Fatalf("no %s within 15s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends a request to the outbound address of machine i.
func (f *fleet) send(i int, q standin.Request) standin.Result {
	q.Host, q.Budget = host, 3*time.Second
	return standin.Send(context.Background(), net.JoinHostPort(f.machines[i].address, f.outbound), q)
}

func (f *fleet) get(i int, id string) standin.Result {
	return f.send(i, standin.Request{ID: id, Method: http.MethodGet, Target: "/read/x?q=1"})
}

// ignoreTime leaves the begin of a run out of a comparison.
var ignoreTime = cmpopts.IgnoreFields(standin.Run{}, "At")

// runsOf returns the runs of a request at all backend servers.
func (f *fleet) runsOf(id string) (runs []standin.Run) {
	for _, m := range f.machines {
		for _, r := range m.backend.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// Guards against a request that is altered on its way, runs more than once, or
// names a caller other than the service of the node that it entered through.
func TestRequestReachesOneBackend(t *testing.T) {
	f := newFleet(t, "s", "s", "other")
	for i := range 20 {
		id := fmt.Sprint("w-", i)
		got := f.send(2, standin.Request{ID: id, Method: http.MethodPost, Target: "/write/a%2fb?q=1", Body: "body " + id})
		if got.Status != http.StatusOK || !got.Proof {
			t.Fatalf("%s: %+v", id, got)
		}
		want := []standin.Run{{ID: id, Method: "POST", Host: host, Target: "/write/a%2fb?q=1", Body: "body " + id, Caller: "other"}}
		if d := cmp.Diff(want, f.runsOf(id), ignoreTime); d != "" {
			t.Fatalf("-want +got:\n%s", d)
		}
	}
}

// Guards against a published configuration that does not take effect, and
// against a 404 for a route that exists.
func TestConfigurationFollowsTheStore(t *testing.T) {
	f := newFleet(t, "s", "other")
	f.publish(connector.Share{Service: "other", Weight: 1})
	f.eventually("request at the new service", func() bool {
		return f.get(0, "moved").Body == standin.Answer("i-2", "moved")
	})
	if got := f.send(0, standin.Request{ID: "none", Method: http.MethodGet, Target: "/none/"}); got.Status != http.StatusNotFound {
		t.Errorf("a path without a route: %+v", got)
	}
}

// Guards against sending requests to a backend server whose entry is draining
// or gone, and against failing requests while the store is unavailable.
func TestMembersFollowTheStore(t *testing.T) {
	f := newFleet(t, "s", "s")
	f.register(0, connector.Member{Draining: true, Sequence: 1})
	f.eventually("drained member", func() bool {
		// With two upstreams in use, 40 requests in a row would practically never
		// all go to the same one.
		for i := range 40 {
			if f.get(0, fmt.Sprint("d-", i)).Body != standin.Answer("i-2", fmt.Sprint("d-", i)) {
				return false
			}
		}
		return true
	})
	f.store.SetDown(true)
	if got := f.get(1, "down"); got.Status != http.StatusOK {
		t.Errorf("while the store is down: %+v", got)
	}
	f.store.Compact()
	f.store.SetDown(false)
	f.register(0, connector.Member{Sequence: 2})
	f.eventually("member that came back", func() bool {
		return f.get(0, "back").Body == standin.Answer("i-1", "back")
	})
}

// Guards against a request that is run by an instance other than the chosen one
// when an address is reused before the member list shows it.
func TestReplacedInstanceDoesNotRun(t *testing.T) {
	f := newFleet(t, "s", "s")
	f.machines[0].backend.Restart("i-new")
	for i := range 10 {
		id := fmt.Sprint("r-", i)
		got := f.send(0, standin.Request{ID: id, Method: http.MethodPost, Target: "/write/x"})
		switch {
		case got.Status == http.StatusOK && got.Body == standin.Answer("i-2", id):
		case got.Status == http.StatusServiceUnavailable && len(f.runsOf(id)) == 0:
		default:
			t.Errorf("%s: %+v, ran %d times", id, got, len(f.runsOf(id)))
		}
	}
	f.store.Deregister("i-1")
	f.register(0, connector.Member{Instance: "i-new", StartMillis: 2})
	f.eventually("request at the new instance", func() bool {
		return f.get(0, "new").Body == standin.Answer("i-new", "new")
	})
}

// All backend servers of a service may run requests and lose the answers.
// Guards against running an idempotent request more often than the route
// allows, against running any other request twice, and against reporting "not
// run" for a request that ran.
func TestLostAnswersBoundRuns(t *testing.T) {
	f := newFleet(t, "s", "s", "s", "s")
	for _, m := range f.machines {
		m.backend.DropAnswers(true)
	}
	for i, c := range []struct {
		method, target string
		runs           int
	}{
		{http.MethodGet, "/read/x", 2}, {http.MethodGet, "/once/x", 1}, {http.MethodPost, "/write/x", 1},
		{http.MethodGet, "/read/x", 2}, {http.MethodGet, "/once/x", 1}, {http.MethodPost, "/write/x", 1},
	} {
		id := fmt.Sprint("l-", i)
		got := f.send(i%len(f.machines), standin.Request{ID: id, Method: c.method, Target: c.target})
		if runs := len(f.runsOf(id)); got.Status != http.StatusBadGateway || runs != c.runs {
			t.Errorf("%s %s: %+v, ran %d times, want 502 and %d", c.method, c.target, got, runs, c.runs)
		}
	}
}

// Guards against requests that a graceful shutdown aborts, at the node that
// accepted them or at the node of their upstream, and against refusals of
// requests that ran.
func TestShutdownAbortsNothing(t *testing.T) {
	f := newFleet(t, "s", "s")
	for _, m := range f.machines {
		m.backend.Latency = 800 * time.Millisecond
	}
	var wg sync.WaitGroup
	for i := range 60 {
		id := fmt.Sprint("p-", i)
		// All requests that are in flight at the stopping node when it stops came
		// from the other node, so that requests of its own clients can't delay it.
		entry := 1
		if i > 20 {
			entry = i % 2
		}
		wg.Go(func() {
			got := f.send(entry, standin.Request{ID: id, Method: http.MethodPost, Target: "/write/x"})
			runs := len(f.runsOf(id))
			switch {
			case got.Status == http.StatusOK && runs == 1:
			case got.Status == http.StatusServiceUnavailable && runs == 0 && got.RetryAfter != "":
			case got.Status == 0 && entry == 0 && runs == 0: // The node was gone.
			default:
				t.Errorf("%s through node %d: %+v, ran %d times", id, entry, got, runs)
			}
		})
		if i == 20 {
			f.machines[0].stop()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	<-f.machines[0].ended
	if got := f.get(1, "after"); got.Body != standin.Answer("i-2", "after") {
		t.Errorf("after the stop: %+v", got)
	}
}
