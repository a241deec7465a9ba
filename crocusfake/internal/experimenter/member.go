package experimenter

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"crocustack/core/configurer"
	"crocustack/crocusfake/internal/publisher"
	"crocustack/crocusfake/internal/relayer"
	"crocustack/crocusfake/internal/worker"
)

// settings is the settings file of a node.
type settings struct {
	Node struct {
		Service  string `yaml:"Service"`
		Domain   string `yaml:"Domain"`
		Region   string `yaml:"Region"`
		Link     string `yaml:"Link"`
		Listen   string `yaml:"Listen,omitempty"`
		Entry    string `yaml:"Entry"`
		Outbound string `yaml:"Outbound"`
		Admin    string `yaml:"Admin"`
	} `yaml:"Node"`
	Backend struct {
		URL        string `yaml:"URL"`
		HealthPath string `yaml:"HealthPath"`
	} `yaml:"Backend"`
	Platform struct {
		URL string `yaml:"URL"`
	} `yaml:"Platform"`
	Seeds        []string `yaml:"Seeds"`
	Policy       string   `yaml:"Policy"`
	DrainTimeout string   `yaml:"DrainTimeout"`
	Log          struct {
		Level     string `yaml:"Level"`
		Decisions bool   `yaml:"Decisions"`
	} `yaml:"Log"`
}

// member is one instance: a node process and its backend server.
type member struct {
	name         string
	settings     settings
	settingsFile string
	logFile      string
	worker       *worker.Worker
	server       *http.Server
	// link and backend are nil without relays.
	link, backend *relayer.Relay

	mu      sync.Mutex
	process *process
}

func (f *fleet) newMember(s service, n int, domain string, reserved *reservation) (*member, error) {
	m := &member{name: fmt.Sprintf("%s-%d", s.name, n)}
	st := &m.settings
	st.Node.Service, st.Node.Domain, st.Node.Region = s.name, domain, region
	for _, address := range []*string{&st.Node.Link, &st.Node.Entry, &st.Node.Outbound, &st.Node.Admin} {
		var err error
		if *address, err = reserved.acquire(); err != nil {
			return nil, err
		}
	}
	w, err := worker.New(worker.Config{
		Service: s.name, Instance: m.name, Slots: s.slots, Connections: s.connections, Outbound: st.Node.Outbound,
		Routes: s.routes, Spread: f.cfg.spread, Seed: f.cfg.seed + uint64(n),
	})
	if err != nil {
		return nil, err
	}
	m.worker = w
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start backend server")
	}
	m.server = &http.Server{Handler: w.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.server.Serve(l) }()
	backend := l.Addr().String()

	if f.cfg.relays {
		if m.backend, err = relayer.New("127.0.0.1:0", backend); err != nil {
			return nil, err
		}
		backend = m.backend.Address()
		if linkRelays() {
			if st.Node.Listen, err = reserved.acquire(); err != nil {
				return nil, err
			}
			reserved.release(st.Node.Link)
			if m.link, err = relayer.New(st.Node.Link, st.Node.Listen); err != nil {
				return nil, err
			}
		}
	}
	st.Backend.URL, st.Backend.HealthPath = "http://"+backend, "/health"
	st.Platform.URL = "http://" + f.toPlatform[domain].Address()
	if len(f.members) > 0 {
		st.Seeds = []string{f.members[0].settings.Node.Link}
	}
	st.Policy = f.cfg.policy
	st.DrainTimeout = "30s"
	st.Log.Level, st.Log.Decisions = "Info", true
	m.settingsFile = filepath.Join(f.dir, m.name+".yaml")
	m.logFile = filepath.Join(f.dir, m.name+".log")
	b, err := yaml.Marshal(st)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return m, errors.Wrap(os.WriteFile(m.settingsFile, b, 0o600), "write settings")
}

// linkRelays reports whether a node can listen for links on another address than
// it advertises. Otherwise no relay can be placed between two nodes, since a link
// is identified by the address that the peer states in the handshake.
var linkRelays = sync.OnceValue(func() bool {
	_, err := configurer.Load("settings", []byte(`
Node: {Service: s, Domain: d, Region: r, Link: "127.0.0.1:1", Listen: "127.0.0.1:2", Entry: "127.0.0.1:3", Outbound: "127.0.0.1:4", Admin: "127.0.0.1:5"}
Backend: {URL: "http://127.0.0.1:6"}
Platform: {URL: "http://127.0.0.1:7"}
`))
	return err == nil
})

func (m *member) instance(state string) publisher.Instance {
	n := m.settings.Node
	return publisher.Instance{Service: n.Service, Address: n.Link, Domain: n.Domain, Region: n.Region, State: state}
}

func (m *member) running() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}
