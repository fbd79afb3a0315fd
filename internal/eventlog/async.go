package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// queueCapacity is the maximum number of lines that wait to be written.
const queueCapacity = 4096

// NewAsync is like New, but lines are written by a separate goroutine, so that Emit never blocks
// on a disk or a pipe. Lines emitted while queueCapacity lines wait are dropped and counted. The
// caller must call Close.
func NewAsync(w io.Writer, level string, node string) *Log {
	queue := newLineQueue(w)
	l := newLog(&log.IOWriter{Writer: queue}, level, node)
	l.queue = queue
	return l
}

// Close stops accepting lines and waits until the queued ones are written, at most for timeout.
// Later events are still kept and counted, but not written. Close has no effect on a log made by
// New.
func (l *Log) Close(timeout time.Duration) {
	if l.queue == nil {
		return
	}
	l.queue.close()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.queue.drained:
	case <-timer.C:
	}
}

// DroppedLines returns the number of lines dropped because the queue was full.
func (l *Log) DroppedLines() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}

// lineQueue decouples Emit from the goroutine that writes the lines.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Uint64
	drained chan struct{} // closed after the queue is closed and every line has been written

	mu       sync.RWMutex // guards isClosed
	isClosed bool
}

// newLineQueue starts the goroutine that writes to w; it ends after close.
func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, queueCapacity), drained: make(chan struct{})}
	go func() {
		defer close(q.drained)
		for line := range q.lines {
			w.Write(line) // an error of the log can't be logged
		}
	}()
	return q
}

// Write queues a copy of a line without blocking. It drops the line if the queue is full.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.isClosed {
		return 0, io.ErrClosedPipe
	}
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// close makes later calls of Write fail. Lines already queued are still written.
func (q *lineQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isClosed {
		q.isClosed = true
		close(q.lines)
	}
}
