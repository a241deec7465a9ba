package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"crocustack/core/informer"
	"crocustack/core/releaser"
	"crocustack/crocusfake/internal/publisher"
	"crocustack/crocusfake/internal/relayer"
	"crocustack/crocusfake/internal/worker"
)

const region = "mazowsze"

// fleetConfig describes the fleet of one experiment.
type fleetConfig struct {
	policy     string
	mesh       []service
	perService int
	domains    []string
	seed       uint64
	// spread is the sigma of the log-normal service times; 0 is constant.
	spread float64
	// relays puts a relay in front of each backend server, and in front of each
	// link listener if nodes can listen on another address than they advertise.
	relays bool
	// lag delays the instance lists of the platform.
	lag time.Duration
}

// fleet holds the platform, nodes, backend servers and relays of one mesh. Its
// methods are safe for concurrent use.
type fleet struct {
	cfg       fleetConfig
	dir       string
	binary    string
	publisher *publisher.Publisher
	platform  *http.Server
	// toPlatform holds, by domain, the relay between the nodes and the platform.
	toPlatform map[string]*relayer.Relay
	members    []*member
	admin      *http.Client

	mu        sync.Mutex
	note      releaser.Note
	catalogue releaser.Catalogue
}

// startFleet starts a fleet and returns when every node is healthy and has an
// active note.
func startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	binary, err := nodeBinary()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "crocusfake-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	f := &fleet{
		cfg: cfg, dir: dir, binary: binary,
		publisher:  publisher.New(publisher.Config{Lag: cfg.lag}),
		toPlatform: make(map[string]*relayer.Relay),
		admin:      &http.Client{Timeout: 2 * time.Second},
	}
	if err := f.start(ctx); err != nil {
		f.close(true)
		return nil, errors.Wrapf(err, "start fleet (node logs in %s)", dir)
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	first := releaser.Note{Number: 1, Added: section(f.cfg.mesh, f.cfg.domains, region)}
	if _, err := f.publish(first); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	f.platform = &http.Server{Handler: f.publisher.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.platform.Serve(l) }()
	for _, d := range f.cfg.domains {
		if f.toPlatform[d], err = relayer.New("127.0.0.1:0", l.Addr().String()); err != nil {
			return err
		}
	}
	var reserved reservation
	defer func() { reserved.release(slices.Collect(maps.Keys(reserved.listeners))...) }()
	var instances []publisher.Instance
	for i, s := range f.cfg.mesh {
		for j := range f.cfg.perService {
			n := i*f.cfg.perService + j
			m, err := f.newMember(s, n, f.cfg.domains[j%len(f.cfg.domains)], &reserved)
			if err != nil {
				return err
			}
			f.members = append(f.members, m)
			instances = append(instances, m.instance("Live"))
		}
	}
	if err := f.publisher.SetInstances(instances...); err != nil {
		return err
	}
	for _, m := range f.members {
		n := m.settings.Node
		reserved.release(n.Link, n.Listen, n.Entry, n.Outbound, n.Admin)
		if err := f.launch(m); err != nil {
			return err
		}
	}
	return f.waitReady(ctx, f.members, 1)
}

// launch starts or restarts the node process of a member.
func (f *fleet) launch(m *member) error {
	p, err := startProcess(f.binary, m.settingsFile, m.logFile)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
	return nil
}

// waitReady returns when the nodes are healthy and their active notes have at
// least the number.
func (f *fleet) waitReady(ctx context.Context, members []*member, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range members {
		g.Go(func() error {
			for {
				st, err := f.status(ctx, m)
				if err == nil && st.Note.Number >= number && f.healthy(ctx, m) {
					return nil
				}
				select {
				case <-ctx.Done():
					return errors.Newf("%s not ready: active note %+v, error %v", m.name, st.Note, err)
				case <-m.running().done:
					return errors.Newf("%s exited: %v", m.name, m.running().state)
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return g.Wait()
}

func (f *fleet) healthy(ctx context.Context, m *member) bool {
	resp, err := f.get(ctx, m, "/health")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) get(ctx context.Context, m *member, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.settings.Node.Admin+path, nil)
	if err != nil {
		return nil, err
	}
	return f.admin.Do(req)
}

func (f *fleet) status(ctx context.Context, m *member) (st informer.Status, err error) {
	resp, err := f.get(ctx, m, "/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st, errors.Newf("status %d", resp.StatusCode)
	}
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// publish writes a note and the resulting catalogue to the platform.
func (f *fleet) publish(n releaser.Note) (releaser.Note, error) {
	n, err := normalized(n)
	if err != nil {
		return n, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note = n
	f.catalogue, _ = f.catalogue.With(n.Items()...)
	return n, f.publisher.Put("release/current", releaser.Document(n, f.catalogue))
}

// normalized returns the note in the form that nodes parse, with sorted lists.
func normalized(n releaser.Note) (releaser.Note, error) {
	// The parser mistakes a long note on a single line for deeply nested input.
	var lines bytes.Buffer
	if err := json.Indent(&lines, n.Canonical(), "", " "); err != nil {
		return n, errors.Wrap(err, "indent note")
	}
	return releaser.ParseNote("note", lines.Bytes())
}

// successor returns a successor of the newest note that changes the queue length
// of one service.
func (f *fleet) successor(serviceIndex, queueLength int) releaser.Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := section(f.cfg.mesh, nil, region).Services[serviceIndex]
	s.QueueLength = queueLength
	return releaser.Note{
		Number:      f.note.Number + 1,
		Predecessor: releaser.Predecessor{Number: f.note.Number, Digest: f.note.Digest()},
		Changed:     releaser.Section{Services: []releaser.Service{s}},
	}
}

func (f *fleet) entries() []string {
	out := make([]string, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.settings.Node.Entry)
	}
	return out
}

func (f *fleet) membersOf(name string) []*member {
	var out []*member
	for _, m := range f.members {
		if m.settings.Node.Service == name {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) ledgers() []worker.Entries {
	out := make([]worker.Entries, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.worker.Ledger().Entries())
	}
	return out
}

// waitIdle waits up to 5 s until no backend server has requests.
func (f *fleet) waitIdle() {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		present := 0
		for _, m := range f.members {
			present += m.worker.Present()
		}
		if present == 0 {
			return
		}
	}
}

// traceLength is the maximum number of log lines in a result.
const traceLength = 40

// trace returns the log lines of all nodes that contain the text, at most
// traceLength.
func (f *fleet) trace(text string) []string {
	var lines []string
	if text == "" {
		return lines
	}
	for _, m := range f.members {
		b, err := os.ReadFile(m.logFile)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, text) && len(lines) < traceLength {
				lines = append(lines, m.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// close ends all processes and servers. It removes the settings and logs unless
// keep is set.
func (f *fleet) close(keep bool) {
	for _, m := range f.members {
		if p := m.running(); p != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		for _, r := range []*relayer.Relay{m.link, m.backend} {
			if r != nil {
				r.Close()
			}
		}
		if m.server != nil {
			_ = m.server.Close()
		}
		if m.worker != nil {
			m.worker.Close()
		}
	}
	for _, r := range f.toPlatform {
		r.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	f.admin.CloseIdleConnections()
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}
