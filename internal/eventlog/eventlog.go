// Package eventlog writes numbered events as lines of JSON. It also keeps the most recent events
// in memory and counts events by name, for the operator's shell and the metrics.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Event is an entry of the table in docs/events.md, generated from schema/events.yaml.
type Event struct {
	Number int    // never reused for another event
	Name   string // the name in metrics
	Level  string // debug, info, warn or error
	Text   string
}

// Entry is a logged event.
type Entry struct {
	Seq    uint64 // position among the process's events, from 1
	At     time.Time
	Event  Event
	Fields []any // alternating keys and values
}

// maxEntries is the maximum number of entries kept in memory; when it is reached, the older half
// is discarded.
const maxEntries = 2048

// Log is the event log of one process.
type Log struct {
	logger *log.Logger
	queue  *lineQueue // nil for a log that writes synchronously

	mu      sync.Mutex // guards seq, entries and counts
	seq     uint64
	entries []Entry // the most recent events, oldest first
	counts  map[string]uint64

	// Observer, if set, is called with every event. It must be set before the first event.
	Observer func(Entry)
}

// New returns a log whose Emit synchronously writes events of at least the given level to w, each
// with the name of the node.
func New(w io.Writer, level string, node string) *Log {
	return newLog(&log.IOWriter{Writer: w}, level, node)
}

func newLog(writer log.Writer, level string, node string) *Log {
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, Writer: writer}
	logger.Context = log.NewContext(nil).Str("node", node).Value()
	return &Log{counts: map[string]uint64{}, logger: logger}
}

// Emit logs an event with alternating keys, which must be strings, and values.
func (l *Log) Emit(e Event, pairs ...any) {
	l.mu.Lock()
	l.seq++
	entry := Entry{Seq: l.seq, At: time.Now(), Event: e, Fields: pairs}
	if len(l.entries) >= maxEntries {
		l.entries = append(l.entries[:0:0], l.entries[maxEntries/2:]...)
	}
	l.entries = append(l.entries, entry)
	l.counts[e.Name]++
	l.mu.Unlock()
	if l.Observer != nil {
		l.Observer(entry)
	}
	line := l.logger.WithLevel(log.ParseLevel(e.Level))
	line.Int("event", e.Number)
	for i := 0; i+1 < len(pairs); i += 2 {
		line.Any(pairs[i].(string), pairs[i+1])
	}
	line.Msg(e.Text)
}

// Writes reports whether the log's level includes an event. Frequent events that only help to
// debug are emitted only then, so that they don't displace others among the most recent events.
func (l *Log) Writes(e Event) bool { return log.ParseLevel(e.Level) >= l.logger.Level }

// Counts returns the number of events by name, including those below the log's level.
func (l *Log) Counts() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]uint64, len(l.counts))
	for name, n := range l.counts {
		counts[name] = n
	}
	return counts
}

// Recent returns up to n of the most recent entries, oldest first.
func (l *Log) Recent(n int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > len(l.entries) {
		n = len(l.entries)
	}
	return append([]Entry(nil), l.entries[len(l.entries)-n:]...)
}
