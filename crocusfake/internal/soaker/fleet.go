package soaker

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
	"crocustack/crocusfake/internal/relayer"
	"crocustack/platform/standin"
)

// host and service are the host and the service of every route of the test
// platform.
const (
	host    = "soak.example"
	service = "soaked"
)

// defaultSlots is the number of slots of a backend server.
const defaultSlots = 20

// ports holds the port numbers of a node and its backend server, which are the
// same on all machines.
type ports struct{ link, listen, outbound, ready, admin, app string }

// machine simulates one machine: a node process, its backend server, and the relays
// in front of its link listener and of the store.
type machine struct {
	address string // IP address
	backend *standin.Backend
	process *standin.Process
	relay   *relayer.Relay
	// storeRelay relays the node's connections to the store.
	storeRelay *relayer.Relay
	// binary is the crocusd executable of the machine.
	binary string
	dir    string

	mu sync.Mutex
	// entry is the backend server's entry in the store. replaced holds the
	// instances that it had before.
	entry    connector.Member
	replaced []string
	cmd      *exec.Cmd
	// events records the events that decide whether the end of cmd is a failure.
	events processEvents
	ended  chan struct{}
	// stopping is set once a fault has sent a terminating signal, so that the end
	// of the process is expected.
	stopping bool
}

// fleet is a running platform: the store and all machines.
type fleet struct {
	// binaries holds the crocusd executables that the machines run in turn.
	binaries []string
	store    *standin.Store
	// storeAddress is the listen address of the store.
	storeAddress string
	ports        ports
	machines     []*machine
	closers      []func()
	// limits holds the lines of the settings under Limits, and bodyBytes the limit on
	// bodies in the configuration; empty and 0 for the defaults.
	limits    string
	bodyBytes int64
	// slots is the number of slots of each backend server; 0 for the default.
	slots int
	// closing is set when the run is over and ended processes stay down.
	closing atomic.Bool

	mu sync.Mutex
	// version is the version of the last published configuration, and publishedAt when
	// each was published first.
	version     int64
	publishedAt map[int64]time.Time
	// keyed is true if the configurations have organisations.
	keyed bool
	// failures describes unexpected process ends and failed restarts.
	failures []string
}

func newFleet(binaries []string, keyed bool, dir string, n int) (*fleet, error) {
	return (&fleet{binaries: binaries, keyed: keyed}).startAll(dir, n)
}

// startAll starts the store and n machines.
func (f *fleet) startAll(dir string, n int) (*fleet, error) {
	f.store, f.publishedAt = standin.NewStore(), make(map[int64]time.Time)
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	f.serve(storeListener, f.store)
	f.storeAddress = storeListener.Addr().String()
	if f.ports, err = freePorts(); err != nil {
		return nil, err
	}
	f.publish()
	for i := range n {
		if err := f.addMachine(i, dir); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
}

const (
	// Ports are taken between firstPort and lastPort, below the kernel's ephemeral
	// range: an outgoing connection could otherwise occupy the port of a node
	// while the node is down.
	firstPort, lastPort = 20000, 30000
	// portStep is the number of consecutive ports that one run uses.
	portStep = 6
)

// freePorts returns ports that nothing listens on. The search starts at an offset
// derived from the process ID, so that concurrent runs choose different ports.
func freePorts() (ports, error) {
	count := (lastPort - firstPort) / portStep
	for i := range count {
		base := firstPort + (os.Getpid()+i)%count*portStep
		if portsFree(base) {
			at := func(n int) string { return strconv.Itoa(base + n) }
			return ports{at(0), at(1), at(2), at(3), at(4), at(5)}, nil
		}
	}
	return ports{}, errors.Newf("no %d free ports in a row from %d to %d", portStep, firstPort, lastPort)
}

func portsFree(base int) bool {
	for n := range portStep {
		l, err := net.Listen("tcp", fmt.Sprintf(":%d", base+n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) addMachine(i int, dir string) error {
	m := &machine{address: fmt.Sprintf("127.0.88.%d", i+1), binary: f.binaries[i%len(f.binaries)], dir: filepath.Join(dir, fmt.Sprint("machine-", i+1))}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return errors.Wrap(err, "machine")
	}
	instance := fmt.Sprintf("i-%d-1", i+1)
	m.backend = standin.NewBackend(instance)
	m.backend.Latency = 10 * time.Millisecond
	m.backend.CrashOn(func(r standin.Run) bool { return crashes(r.Target) })
	var err error
	m.process, err = standin.StartProcess(m.backend, instance, net.JoinHostPort(m.address, f.ports.app), serverDowntime, func(_, now string) { f.restarted(m, now) })
	if err != nil {
		return err
	}
	f.closers = append(f.closers, m.process.Close)
	if m.relay, err = relayer.New(net.JoinHostPort(m.address, f.ports.link), net.JoinHostPort(m.address, f.ports.listen)); err != nil {
		return err
	}
	f.closers = append(f.closers, m.relay.Close)
	if m.storeRelay, err = relayer.New("127.0.0.1:0", f.storeAddress); err != nil {
		return err
	}
	f.closers = append(f.closers, m.storeRelay.Close)
	m.entry = connector.Member{
		Instance: instance, Service: service, Address: net.JoinHostPort(m.address, f.ports.app),
		Domain: fmt.Sprint("d", i%2), Slots: cmp.Or(f.slots, defaultSlots), StartMillis: 1, Sequence: 1,
	}
	f.store.Register(m.entry)
	f.machines = append(f.machines, m)
	if err := os.WriteFile(m.settings(), f.settings(m), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return f.start(m)
}

func (m *machine) settings() string { return filepath.Join(m.dir, "node.yaml") }

func (f *fleet) settings(m *machine) []byte {
	at := func(port string) string { return net.JoinHostPort(m.address, port) }
	return fmt.Appendf(nil, `Node: {Service: %s, Domain: %s, Region: r, Link: "%s", Listen: "%s", Outbound: "%s", Ready: "%s", Admin: "%s"}
Backend: {URL: "http://%s"}
Platform: {Hosted: true, URL: "http://%s", Bounds: ["grace=6s", "retryBudgetRatio=0.2", "retryBudgetSlack=40", "strictRevoke=%t", "revoke=%s"], Regions: ["d0=r", "d1=r"]}
Timing: {SilentAfter: 150ms, AbandonAfter: 350ms}
Limits: {%s}
`, service, m.entry.Domain, at(f.ports.link), at(f.ports.listen), at(f.ports.outbound), at(f.ports.ready), at(f.ports.admin), at(f.ports.app), m.storeRelay.Address(), f.keyed, revokeTime, f.limits)
}

// start starts the node of a machine, unless it runs already, and a goroutine that
// waits for its end.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(m.dir, "node.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running() {
		return nil // Already restarted by waitForExit or by a fault.
	}
	m.cmd, m.ended, m.stopping = exec.Command(m.binary, "--settings", m.settings()), make(chan struct{}), false
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return errors.Wrap(err, "start node")
	}
	m.events = processEvents{started: time.Now()}
	go f.waitForExit(m, m.cmd, m.ended)
	return nil
}

// running reports whether the node's process has been started and has not ended.
// The caller holds mu.
func (m *machine) running() bool {
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// platformRestartDelay is the delay after which the platform restarts an ended
// process.
const platformRestartDelay = time.Second

// waitForExit waits for the end of a process. An end that no fault caused is recorded
// as a failure, except by SIGHUP during startup, and the process is restarted as the
// platform does.
func (f *fleet) waitForExit(m *machine, cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	m.mu.Lock()
	expected := m.stopping
	atStart := m.events.endedBySIGHUPAtStart(cmd.ProcessState, time.Now())
	m.mu.Unlock()
	if !expected && !atStart {
		f.fail(fmt.Sprintf("the node at %s ended by itself: %v", m.address, err))
	}
	close(ended)
	if expected || f.closing.Load() {
		return
	}
	time.Sleep(platformRestartDelay)
	if err := f.start(m); err != nil {
		f.fail(err.Error())
	}
}

// signal sends a signal to the node's process, if it runs, and records signals that
// decide whether a later end of the process is a failure.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running() {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		m.stopping = true
	case syscall.SIGCONT:
		m.events.resumed = time.Now()
	case syscall.SIGHUP:
		if m.events.sighupSent.IsZero() {
			m.events.sighupSent = time.Now()
		}
	default:
	}
	_ = m.cmd.Process.Signal(s) // The process may have ended already.
}

// restart ends the node by a signal and starts it again after the pause.
func (f *fleet) restart(m *machine, s syscall.Signal, pause time.Duration) error {
	m.signal(s)
	<-m.ended
	time.Sleep(pause)
	return f.start(m)
}

func (m *machine) startTime() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.events.started
}

func (f *fleet) newestVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// publish writes the next configuration to the store. It contains a route that no
// other version has.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.publishedAt[f.version] = time.Now()
	f.publishVersion()
}

// publishVersion writes the newest configuration. The caller holds mu.
func (f *fleet) publishVersion() {
	cfg := connector.Config{
		Version: f.version,
		Routes: []connector.Route{
			f.route("read", true), f.route("write", false),
			{Name: "v", Host: host, Prefix: fmt.Sprintf("/version/%d/", f.version), Idempotent: true, Timeout: time.Second, MaxAttempts: 1, Shares: shares()},
		},
		Services: map[string]connector.Service{service: {Name: service}}, Limits: connector.Limits{BodyBytes: f.bodyBytes},
	}
	if f.keyed {
		cfg.Keyed, cfg.Organisations = true, organisations(f.version)
	}
	f.store.Publish(cfg)
}

func (f *fleet) route(name string, idempotent bool) connector.Route {
	return connector.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 3 * time.Second,
		Objective: time.Second, MaxAttempts: 2, Shares: shares(),
	}
}

func shares() []connector.Share { return []connector.Share{{Service: service, Weight: 1}} }

// register applies change to a backend server's entry and writes it to the store
// with the next sequence number.
func (f *fleet) register(m *machine, change func(*connector.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry.Sequence++
	change(&m.entry)
	f.store.Register(m.entry)
}

// close kills all node processes and closes relays and servers.
func (f *fleet) close() {
	f.closing.Store(true)
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	for _, c := range f.closers {
		c()
	}
}
