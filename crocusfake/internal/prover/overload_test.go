package prover

import (
	"net/http"
	"testing"
	"time"

	"crocustack/core/classifier"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// TestP2TripleLoad guards against overload that makes requests of the top class fail
// although these alone fit the capacity. The target is 99% at 3 times the capacity
// with repeated requests (docs/design.md, section 1.5).
func TestP2TripleLoad(t *testing.T) {
	const (
		slots    = 8
		gates    = 2
		mean     = 80 * time.Millisecond
		triple   = 3 * slots * gates / 0.08 // requests per second
		critical = 0.15                     // 45% of the capacity
		target   = 0.99
	)
	s := service{name: "ksiegi", instances: gates, slots: slots}
	var kinds []loader.Kind
	for _, k := range []struct {
		name  string
		class classifier.Class
		share float64
	}{{"issue", classifier.ClassCritical, critical}, {"lookup", classifier.ClassStandard, 0.3}, {"browse", classifier.ClassBrowse, 0.3}, {"upload", classifier.ClassBulk, 0.25}} {
		path := "/" + k.name
		s.routes = append(s.routes, worker.Route{Method: http.MethodGet, Path: path, Mean: mean, Idempotent: true})
		s.kinds = append(s.kinds, classifier.Kind{
			Name: k.name, Service: s.name, Methods: []string{http.MethodGet}, PathPrefix: path, Class: k.class,
			Idempotent: true, Timeout: time.Second, Allowance: 3,
		})
		kinds = append(kinds, loader.Kind{Name: k.name, Class: k.class.String(), Service: s.name, Method: http.MethodGet, Path: path, Share: k.share, Timeout: time.Second})
	}
	f := start(t, []string{"waw-a"}, service{name: "desk", instances: 2, slots: slots}, s)
	l, stop := f.load(loader.Config{Name: "caller", Entries: entries(f.nodesOf("desk")...), Kinds: kinds, Rate: triple / 6, Retries: 2, Backoff: 20 * time.Millisecond, Seed: 31})
	// The admission limit ramps up from a low value after a start.
	eventually(t, "full admission limits", func() bool {
		for _, n := range f.nodesOf("ksiegi") {
			if st, ok := n.status(); !ok || st.Limits.Limit < slots {
				return false
			}
		}
		return true
	})
	l.SetRate(triple)
	began := time.Now()
	time.Sleep(8 * time.Second)
	ended := time.Now()
	stop()
	f.judge(l)
	// Requests of the first second are left out: the level needs it to rise to the
	// load.
	figures := func(class string) *loader.Summary {
		return loader.Summarize(l.Records(), func(r loader.Record) bool {
			return r.Class == class && r.Offered.After(began.Add(time.Second)) && r.Offered.Before(ended)
		})
	}
	for _, k := range kinds {
		s := figures(k.Class)
		t.Logf("%s: %d of %d complete (%.2f%%)", k.Class, s.Good, s.Offered, 100*s.Share)
	}
	if s := figures("Critical"); s.Share < target {
		t.Errorf("top class: %d of %d complete (%.2f%%), want at least %.0f%%", s.Good, s.Offered, 100*s.Share, 100*target)
	}
	if s := figures("Bulk"); s.Share > 0.5 {
		t.Errorf("lowest class: %.2f%% complete, so there was no overload", 100*s.Share)
	}
}
