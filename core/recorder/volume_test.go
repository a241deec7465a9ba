package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"crocustack/core/resolver"
)

// stalledWriter blocks every Write until release is closed.
type stalledWriter struct {
	release chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a stalled log reader that blocks requests or lets memory grow
// without bound. Lines beyond the limit must be dropped and counted.
func TestStalledLogReaderDoesNotBlockWrite(t *testing.T) {
	s := &stalledWriter{release: make(chan struct{})}
	q := newLogQueue(s, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	written := make(chan struct{})
	go func() {
		for range 500 {
			_, _ = q.Write(line)
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the log reader is stalled")
	}
	rec := New(logr.Discard(), 1)
	reported := make(chan int64, 500)
	rec.ReportDropped(q)
	if g, ok := rec.Registry().Get("Log.Dropped").(metrics.Gauge); !ok || g.Value() != q.Dropped() {
		t.Errorf("gauge Log.Dropped is %v, want %d", rec.Registry().Get("Log.Dropped"), q.Dropped())
	}
	q.mu.Lock()
	q.report = func(lines int64) { reported <- lines }
	q.mu.Unlock()
	// One batch of lines may be in the blocked write, in addition to the
	// buffered ones.
	if n := q.Dropped(); n < 500-20 {
		t.Errorf("%d of 500 lines dropped, want at least 480", n)
	}
	close(s.release)
	_ = q.Close()
	if n := <-reported; n != q.Dropped() {
		t.Errorf("%d dropped lines reported, want %d", n, q.Dropped())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := s.got.Len(); got%len(line) != 0 || got > 2000 {
		t.Errorf("%d bytes written, want at most 20 whole lines", got)
	}
}

// Guards against lines that are lost or reordered although the log reader keeps
// up.
func TestQueueWritesInOrder(t *testing.T) {
	var buf bytes.Buffer
	q := NewLogQueue(&buf)
	for _, text := range []string{"a\n", "b\n", "c\n"} {
		_, _ = q.Write([]byte(text))
	}
	_ = q.Close()
	if buf.String() != "a\nb\nc\n" || q.Dropped() != 0 {
		t.Errorf("wrote %q, dropped %d", buf.String(), q.Dropped())
	}
}

// An overloaded node makes thousands of decisions per second. Guards against a
// log volume that grows with them, against failures that are left out in favour
// of successes, and against decisions that are left out without a summary line.
func TestLogVolumeIsBounded(t *testing.T) {
	var buf bytes.Buffer
	log, decisions, err := NewLogger(&buf, &buf, "Info", "JSON", true)
	_ = log
	if err != nil {
		t.Fatal(err)
	}
	r := New(decisions, 8)
	start := time.Unix(1700000000, 0)
	const perSecond, seconds = 5000, 10
	for i := range perSecond * seconds {
		d := Decision{Time: start.Add(time.Duration(i) * time.Second / perSecond), Kind: KindAnswer, Outcome: resolver.Ran{Status: 200}}
		if i%50 == 0 { // 100 per second.
			d.Outcome = resolver.NotRun{Reason: resolver.ReasonQueueFull}
		}
		r.Record(d)
	}
	text := buf.String()
	failures, summaries := strings.Count(text, "QueueFull"), strings.Count(text, "decisions left out")
	successes := strings.Count(text, `"Ran"`)
	if failures != 100*seconds {
		t.Errorf("%d failures logged, want all %d", failures, 100*seconds)
	}
	if successes == 0 || successes > successLinesPerSecond*(seconds+burstSeconds)+1 {
		t.Errorf("%d successes logged, want a sample of at most %d", successes, successLinesPerSecond*(seconds+burstSeconds)+1)
	}
	if summaries < seconds-1 || summaries > seconds+1 {
		t.Errorf("%d summaries in %d s", summaries, seconds)
	}
}

// BenchmarkRecordStalledLogReader measures the cost of a decision while the log
// reader is stalled.
func BenchmarkRecordStalledLogReader(b *testing.B) {
	s := &stalledWriter{release: make(chan struct{})}
	defer close(s.release)
	_, decisions, err := NewLogger(s, NewLogQueue(s), "Info", "JSON", true)
	if err != nil {
		b.Fatal(err)
	}
	r := New(decisions, 8)
	b.ReportAllocs()
	for b.Loop() {
		d := sample
		d.Time = time.Now()
		r.Record(d)
	}
}
