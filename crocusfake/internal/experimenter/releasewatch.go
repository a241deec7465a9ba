package experimenter

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"crocustack/core/releaser"
)

// releaseWatch samples the active note of each node. It checks promise P8: a node
// never goes back to an older note, and an active note reaches all nodes.
type releaseWatch struct {
	f *fleet

	mu       sync.Mutex
	seen     map[releaser.Stamp]bool
	breaches []string
}

func newReleaseWatch(f *fleet) *releaseWatch {
	return &releaseWatch{f: f, seen: make(map[releaser.Stamp]bool)}
}

func (w *releaseWatch) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range w.f.members {
		wg.Go(func() { w.sample(ctx, m) })
	}
	wg.Wait()
}

func (w *releaseWatch) sample(ctx context.Context, m *member) {
	var last releaser.Stamp
	var run *process
	for sleep(ctx, 100*time.Millisecond) == nil {
		p := m.running()
		st, err := w.f.status(ctx, m)
		// A status read during a restart can't be attributed to one process.
		if err != nil || p != m.running() || st.Note.Number == 0 {
			continue
		}
		stamp := releaser.Stamp{Number: st.Note.Number, Digest: uint64(st.Note.Digest)}
		if p == run && stamp.Compare(last) < 0 {
			w.breach("%s went back from note %v to %v", m.name, last, stamp)
		}
		run, last = p, stamp
		w.mu.Lock()
		w.seen[stamp] = true
		w.mu.Unlock()
	}
}

func (w *releaseWatch) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

// check compares the final state of all nodes. All catalogues must be equal and
// contain every note that was ever active on any node.
func (w *releaseWatch) check(ctx context.Context) []string {
	var first uint64
	for i, m := range w.f.members {
		c, err := w.catalogue(ctx, m)
		if err != nil {
			first, _, _ := strings.Cut(err.Error(), "\n")
			w.breach("%s: GET /release: %s", m.name, first)
			continue
		}
		if i == 0 {
			first = c.Digest()
		}
		if c.Digest() != first {
			w.breach("%s: catalogue differs from the one of %s", m.name, w.f.members[0].name)
		}
		headers := make(map[releaser.Stamp]bool)
		for _, item := range c.Section(releaser.HeadersSection) {
			headers[item.Stamp] = true
		}
		w.mu.Lock()
		for stamp := range w.seen {
			if !headers[stamp] {
				w.breaches = append(w.breaches, fmt.Sprintf("%s lacks note %d %s, which was in force", m.name, stamp.Number, releaser.FormatDigest(stamp.Digest)))
			}
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaches
}

func (w *releaseWatch) catalogue(ctx context.Context, m *member) (releaser.Catalogue, error) {
	resp, err := w.f.get(ctx, m, "/release")
	if err != nil {
		return releaser.Catalogue{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return releaser.Catalogue{}, err
	}
	_, c, err := releaser.ParseDocument(b)
	return c, err
}
