package recorder

import (
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the log lines that wait to be written. At 300 bytes a
	// line it holds some seconds of a busy node.
	queueBytes = 1 << 20
	// flushInterval bounds how late a line is written while the reader keeps up.
	flushInterval = 100 * time.Millisecond
	// closeTimeout bounds how long a stopping process waits for its reader.
	closeTimeout = 500 * time.Millisecond
)

// Queue writes log lines on a goroutine of its own, so that a reader that stands
// still never blocks a request. When too much waits, new lines are dropped and
// counted. It is safe for concurrent use.
type Queue struct {
	w     io.Writer
	limit int

	mu sync.Mutex
	// waiting holds whole lines.
	waiting []byte
	dropped int64
	// reported is the part of dropped that report was told of.
	reported int64
	// report, if set, is told of lines that were dropped once there is room.
	report func(lines int64)
	closed bool

	stop, stopped chan struct{}
}

// NewQueue returns a queue that writes to w until Close.
func NewQueue(w io.Writer) *Queue { return newQueue(w, queueBytes) }

func newQueue(w io.Writer, limit int) *Queue {
	q := &Queue{w: w, limit: limit, stop: make(chan struct{}), stopped: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line or drops it. It never fails: a log that can't be written
// must not fail what it tells of.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.waiting)+len(line) > q.limit {
		q.dropped++
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	return len(line), nil
}

// Dropped is the number of lines that were dropped since the start.
func (q *Queue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// tellDropped reports the lines that were dropped since the last report.
func (q *Queue) tellDropped() {
	q.mu.Lock()
	lines, report := q.dropped-q.reported, q.report
	q.reported = q.dropped
	q.mu.Unlock()
	if lines > 0 && report != nil {
		report(lines)
	}
}

// Close writes what waits, as far as the reader takes it in time.
func (q *Queue) Close() error {
	q.mu.Lock()
	first := !q.closed
	q.closed = true
	q.mu.Unlock()
	if first {
		close(q.stop)
	}
	select {
	case <-q.stopped:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (q *Queue) run() {
	defer close(q.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		stopping := false
		select {
		case <-ticker.C:
		case <-q.stop:
			stopping = true
		}
		q.mu.Lock()
		lines := q.waiting
		q.waiting = spare[:0]
		q.mu.Unlock()
		if len(lines) > 0 {
			// There is nowhere to report a failed write to.
			_, _ = q.w.Write(lines)
			q.tellDropped()
		}
		spare = lines
		if stopping {
			return
		}
	}
}
