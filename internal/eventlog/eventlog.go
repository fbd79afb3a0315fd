// Package eventlog writes numbered events as lines of JSON. It also keeps the newest ones in
// memory and counts them by name, for the shell and the metrics.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Event is one line of the table in docs/events.md.
type Event struct {
	Number int    // identifies the event for good
	Name   string // its name in metrics
	Level  string // debug, info, warn or error
	Text   string
}

// Entry is one event that was logged.
type Entry struct {
	Seq    uint64 // counts the process's events from 1
	At     time.Time
	Event  Event
	Fields []any // keys and values in turn
}

// capacity is how many entries are kept at most; half of them go when it is reached.
const capacity = 2048

// Log is the event log of one process.
type Log struct {
	logger *log.Logger
	queue  *lineQueue // nil for a log whose events are written by whoever emits them

	mu      sync.Mutex // guards the three below
	seq     uint64
	entries []Entry // the newest, oldest first
	counts  map[string]uint64

	// Observer is called with every event, if it is set before the first.
	Observer func(Entry)
}

// New returns a log that writes events of the level and above to out, each with the name of the
// node, before Emit returns.
func New(out io.Writer, level string, node string) *Log {
	return newLog(&log.IOWriter{Writer: out}, level, node)
}

func newLog(writer log.Writer, level string, node string) *Log {
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, Writer: writer}
	logger.Context = log.NewContext(nil).Str("node", node).Value()
	return &Log{counts: map[string]uint64{}, logger: logger}
}

// Emit logs an event; pairs are keys, which are strings, and values in turn.
func (l *Log) Emit(e Event, pairs ...any) {
	l.mu.Lock()
	l.seq++
	entry := Entry{Seq: l.seq, At: time.Now(), Event: e, Fields: pairs}
	if len(l.entries) >= capacity {
		l.entries = append(l.entries[:0:0], l.entries[capacity/2:]...)
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

// Counts returns how often each event was logged, by name, whatever its level.
func (l *Log) Counts() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := make(map[string]uint64, len(l.counts))
	for name, n := range l.counts {
		view[name] = n
	}
	return view
}

// Recent returns the n newest entries, oldest first.
func (l *Log) Recent(n int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > len(l.entries) {
		n = len(l.entries)
	}
	return append([]Entry(nil), l.entries[len(l.entries)-n:]...)
}
