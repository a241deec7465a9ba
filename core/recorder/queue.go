package recorder

import (
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the size of the log lines that wait to be written. At
	// 300 bytes per line it holds the lines of a few seconds on a busy node.
	queueBytes = 1 << 20
	// flushInterval bounds the delay of a line while the log reader keeps up.
	flushInterval = 100 * time.Millisecond
	// closeTimeout bounds how long a stopping process waits for the log reader.
	closeTimeout = 500 * time.Millisecond
)

// Queue writes log lines asynchronously, so that a stalled log reader never
// blocks a request. When its buffer is full, new lines are dropped and counted.
// It is safe for concurrent use.
type Queue struct {
	w     io.Writer
	limit int

	mu sync.Mutex
	// waiting holds the buffered lines. It never ends within a line.
	waiting []byte
	dropped int64
	// reported is the part of dropped that has been passed to report.
	reported int64
	// report, if set, is called with the number of lines dropped since the
	// previous call, once the buffer has room again.
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

// Write buffers one line, or drops it if the buffer is full or the queue is
// closed. It never returns an error, because a failing log must not fail the
// operation that is logged.
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

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// tellDropped reports the lines dropped since the last report.
func (q *Queue) tellDropped() {
	q.mu.Lock()
	lines, report := q.dropped-q.reported, q.report
	q.reported = q.dropped
	q.mu.Unlock()
	if lines > 0 && report != nil {
		report(lines)
	}
}

// Close writes the buffered lines. It stops waiting after closeTimeout if the
// log reader is stalled.
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
			// There is no place to report a failed log write.
			_, _ = q.w.Write(lines)
			q.tellDropped()
		}
		spare = lines
		if stopping {
			return
		}
	}
}
