package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/prometheus/procfs"

	"crocustack/core/classifier"
	"crocustack/core/informer"
	"crocustack/core/releaser"

	"crocustack/crocusfake/internal/experimenter"
	"crocustack/crocusfake/internal/publisher"
)

const (
	region       = "mazowsze"
	frontService = "front"
	backService  = "back"
	// mismatchService is a service whose only kind does not match the requests
	// sent, so that the entry node refuses them itself.
	mismatchService = "closed"

	// slots is large enough for the highest number of requests in flight that is
	// measured: after its start a node admits a tenth of the slots.
	slots = 16384

	bodyBytes   = 200
	readyWithin = 30 * time.Second
)

// testbed runs a platform, nodes, and one backend server for all nodes.
type testbed struct {
	dir          string
	logDecisions bool
	publisher    *publisher.Publisher
	servers      []*http.Server
	platform     string
	backend      string
	// platformBytes counts the bytes of the platform's answers without headers.
	platformBytes atomic.Int64
	held          atomic.Int64
	client        *http.Client
	nodes         []*node
	// failed is true when a node did not become ready; the logs are kept then.
	failed bool

	mu        sync.Mutex
	note      releaser.Note
	catalogue releaser.Catalogue
	// release is closed to let the backend server answer the held requests.
	release chan struct{}
}

// node is one crocusd process.
type node struct {
	service, domain              string
	link, entry, outbound, admin string
	process                      *experimenter.Node
	stat                         procfs.Proc
}

// newTestbed starts the platform and the backend server.
func newTestbed(logDecisions bool, domains ...string) (*testbed, error) {
	dir, err := os.MkdirTemp("", "crocusfake-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	r := &testbed{
		dir: dir, logDecisions: logDecisions, publisher: publisher.New(publisher.Config{}), release: make(chan struct{}),
		client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 2048}},
	}
	if r.platform, err = r.serve(r.countBytes(r.publisher.Handler())); err != nil {
		return r, err
	}
	if r.backend, err = r.serve(http.HandlerFunc(r.serveBackend)); err != nil {
		return r, err
	}
	return r, r.publish(baseSection(domains))
}

func baseSection(domains []string) releaser.Section {
	var s releaser.Section
	for _, name := range []string{frontService, backService, mismatchService} {
		s.Services = append(s.Services, releaser.Service{
			Name: name, Slots: slots, Connections: slots, RetryRatio: 0.1, QueueTime: 50 * time.Millisecond, QueueLength: 100,
		})
		s.Kinds = append(s.Kinds, classifier.Kind{
			Name: "post-" + name, Service: name, Methods: []string{http.MethodPost}, PathPrefix: "/",
			Class: classifier.ClassStandard, Idempotent: true, Timeout: time.Minute, Allowance: 3,
		})
	}
	s.Kinds[2].Methods = []string{http.MethodGet}
	s.Services[0].Calls = []string{backService, mismatchService}
	for _, d := range domains {
		s.Domains = append(s.Domains, releaser.Domain{Name: d, Region: region})
	}
	return s
}

// serve starts a server that close stops, and returns its address.
func (r *testbed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

func (r *testbed) countBytes(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		h.ServeHTTP(countingWriter{w, &r.platformBytes}, req)
	})
}

// serveBackend is the handler of the backend server. It echoes the body; on the
// path /held it first waits until release is closed.
func (r *testbed) serveBackend(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		_, _ = io.WriteString(w, `{"State": "Ready"}`)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if req.URL.Path == "/held" {
		r.held.Add(1)
		defer r.held.Add(-1)
		select {
		case <-r.release:
		case <-req.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

// publish writes the next note and the resulting catalogue to the platform.
func (r *testbed) publish(added releaser.Section) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := releaser.Note{Number: r.note.Number + 1, Added: added}
	if r.note.Number > 0 {
		n.Predecessor = releaser.Predecessor{Number: r.note.Number, Digest: r.note.Digest()}
	}
	n, err := experimenter.Normalized(n)
	if err != nil {
		return err
	}
	r.note = n
	r.catalogue, _ = r.catalogue.With(n.Items()...)
	return r.publisher.Put("release/current", releaser.Document(n, r.catalogue))
}

func (r *testbed) items() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.catalogue.Items())
}

// start launches nodes of one service, spread over the domains, and returns when
// all are healthy.
func (r *testbed) start(ctx context.Context, service string, count int, domains ...string) ([]*node, error) {
	addresses, release, err := experimenter.Reserve(4 * count)
	if err != nil {
		return nil, err
	}
	defer release(addresses...)
	var added []*node
	var list []publisher.Instance
	for i := range count {
		a := addresses[4*i:]
		n := &node{service: service, domain: domains[i%len(domains)], link: a[0], entry: a[1], outbound: a[2], admin: a[3]}
		added = append(added, n)
		list = append(list, publisher.Instance{Service: service, Address: n.link, Domain: n.domain, Region: region, State: "Live"})
	}
	if err := r.publisher.SetInstances(list...); err != nil {
		return nil, err
	}
	for _, n := range added {
		release(n.link, n.entry, n.outbound, n.admin)
		if err := r.launch(n); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, n := range added {
		if err := r.waitHealthy(ctx, n); err != nil {
			r.failed = true
			return nil, err
		}
	}
	return added, nil
}

func (r *testbed) launch(n *node) error {
	file := filepath.Join(r.dir, fmt.Sprintf("%s-%d", n.service, len(r.nodes)))
	settings := map[string]any{
		"Node": map[string]string{
			"Service": n.service, "Domain": n.domain, "Region": region,
			"Link": n.link, "Entry": n.entry, "Outbound": n.outbound, "Admin": n.admin,
		},
		"Backend":  map[string]string{"URL": "http://" + r.backend, "HealthPath": "/health"},
		"Platform": map[string]string{"URL": "http://" + r.platform},
		"Log":      map[string]any{"Level": "Info", "Decisions": r.logDecisions},
	}
	if len(r.nodes) > 0 {
		settings["Seeds"] = []string{r.nodes[0].link}
	}
	b, err := yaml.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file+".yaml", b, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if n.process, err = experimenter.StartNode(file+".yaml", file+".log"); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	n.stat, err = procfs.NewProc(n.process.PID())
	return errors.Wrap(err, "read /proc of node")
}

func (r *testbed) waitHealthy(ctx context.Context, n *node) error {
	for {
		var state struct{ State string }
		if err := r.get(ctx, n, "/health", &state); err == nil && state.State == "Ready" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("node of service %s not ready (logs in %s)", n.service, r.dir)
		case <-n.process.Done():
			return errors.Newf("node of service %s exited before it was ready (logs in %s)", n.service, r.dir)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (r *testbed) get(ctx context.Context, n *node, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+path, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

// linkBytes returns the bytes read and written on the open links of a node.
func (r *testbed) linkBytes(ctx context.Context, n *node) (float64, error) {
	var links []informer.Link
	err := r.get(ctx, n, "/links", &links)
	var sum int64
	for _, l := range links {
		sum += l.BytesRead + l.BytesWritten
	}
	return float64(sum), errors.Wrap(err, "read /links")
}

// logBytes returns the total length of the logs of all nodes.
func (r *testbed) logBytes() (float64, error) {
	files, err := filepath.Glob(filepath.Join(r.dir, "*.log"))
	if err != nil {
		return 0, errors.Wrap(err, "list logs")
	}
	var sum int64
	for _, f := range files {
		st, err := os.Stat(f)
		if err != nil {
			return 0, errors.Wrap(err, "read log")
		}
		sum += st.Size()
	}
	return float64(sum), nil
}

// documentBytes returns the length of release/current without the newest note.
func (r *testbed) documentBytes() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(len(releaser.Document(releaser.Note{}, r.catalogue)))
}

// cpu returns the processor time that a node has used, in seconds.
func (n *node) cpu() (float64, error) {
	s, err := n.stat.Stat()
	return s.CPUTime(), errors.Wrap(err, "read /proc of node")
}

// rss returns the resident memory of a node in bytes.
func (n *node) rss() (float64, error) {
	s, err := n.stat.NewStatus()
	return float64(s.VmRSS), errors.Wrap(err, "read /proc of node")
}

// close ends all nodes and servers and removes the logs unless a node failed.
func (r *testbed) close() {
	for _, n := range r.nodes {
		n.process.Kill()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.client.CloseIdleConnections()
	if !r.failed {
		_ = os.RemoveAll(r.dir)
	}
}

// sleep waits for d, or returns the error of ctx when it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
