package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// queueLines is how many lines may wait for a writer that takes none.
const queueLines = 4096

// NewAsync is New, but for the task that writes: it is one of the log's own, so that no task of a
// node waits for a disk or a pipe. Lines that come while queueLines wait are dropped and counted.
// Close must be called at the end.
func NewAsync(out io.Writer, level string, node string) *Log {
	queue := newLineQueue(out)
	l := newLog(&log.IOWriter{Writer: queue}, level, node)
	l.queue = queue
	return l
}

// Close ends the writing of lines; what waits is written if that takes no longer than the limit.
// Events are kept and counted as before.
func (l *Log) Close(limit time.Duration) {
	if l.queue == nil {
		return
	}
	l.queue.close()
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-l.queue.written:
	case <-timeout.C:
	}
}

// DroppedLines is how many lines were not written since too many waited.
func (l *Log) DroppedLines() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}

// lineQueue stands between those who write lines and the task that hands them to a writer.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Uint64
	written chan struct{} // closed when the queue is closed and every line was handed over

	mu       sync.RWMutex // guards isClosed
	isClosed bool
}

// newLineQueue starts the task that writes to out, which ends with the queue.
func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, queueLines), written: make(chan struct{})}
	go func() {
		defer close(q.written)
		for line := range q.lines {
			out.Write(line) // a log that can't be written has nowhere to say so
		}
	}()
	return q
}

// Write queues a copy of a line. It never waits for the lines before it.
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

// close takes no more lines.
func (q *lineQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isClosed {
		q.isClosed = true
		close(q.lines)
	}
}
