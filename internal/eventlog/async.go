package eventlog

import (
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
	writer := &asyncWriter{queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: out}, ChannelSize: queueLines, DiscardOnFull: true}}
	l := newLog(writer, level, node)
	l.async = writer
	return l
}

// Close ends the writing of lines; what waits is written if that takes no longer than the limit.
// Events are kept and counted as before.
func (l *Log) Close(limit time.Duration) {
	if l.async == nil {
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.async.close()
	}()
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
}

// DroppedLines is how many lines were not written since too many waited.
func (l *Log) DroppedLines() uint64 {
	if l.async == nil {
		return 0
	}
	return l.async.dropped.Load()
}

// asyncWriter is a queue of lines that is closed once, whoever still writes.
type asyncWriter struct {
	queue   *log.AsyncWriter
	dropped atomic.Uint64

	mu       sync.RWMutex // guards isClosed
	isClosed bool
}

// WriteEntry queues a line. It never waits for the lines before it.
func (w *asyncWriter) WriteEntry(entry *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.isClosed {
		return 0, io.ErrClosedPipe
	}
	n, err := w.queue.WriteEntry(entry)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// close returns when every queued line was written.
func (w *asyncWriter) close() {
	w.mu.Lock()
	wasClosed := w.isClosed
	w.isClosed = true
	w.mu.Unlock()
	if !wasClosed {
		w.queue.Close() // whether the last line was written, nobody is left to be told
	}
}
