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

// LogQueue writes log lines asynchronously, so that a stalled log reader never
// blocks a request. When its buffer is full, new lines are dropped and counted.
// It is safe for concurrent use.
type LogQueue struct {
	w     io.Writer
	limit int

	mu sync.Mutex
	// pending holds the buffered lines. It never ends within a line.
	pending []byte
	dropped int64
	// reported is the part of dropped that has been passed to report.
	reported int64
	// report, if set, is called with the number of lines dropped since the
	// previous call, once the buffer has room again.
	report func(lines int64)
	closed bool

	stop, stopped chan struct{}
}

// NewLogQueue returns a queue that writes to w until Close.
func NewLogQueue(w io.Writer) *LogQueue { return newLogQueue(w, queueBytes) }

func newLogQueue(w io.Writer, limit int) *LogQueue {
	q := &LogQueue{w: w, limit: limit, stop: make(chan struct{}), stopped: make(chan struct{})}
	go q.run()
	return q
}

// Write buffers one line, or drops it if the buffer is full or the queue is
// closed. It never returns an error, because a failing log must not fail the
// operation that is logged.
func (q *LogQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.pending)+len(line) > q.limit {
		q.dropped++
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (q *LogQueue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// reportDropped reports the lines dropped since the last report.
func (q *LogQueue) reportDropped() {
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
func (q *LogQueue) Close() error {
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

func (q *LogQueue) run() {
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
		lines := q.pending
		q.pending = spare[:0]
		q.mu.Unlock()
		if len(lines) > 0 {
			// There is no place to report a failed log write.
			_, _ = q.w.Write(lines)
			q.reportDropped()
		}
		spare = lines
		if stopping {
			return
		}
	}
}
