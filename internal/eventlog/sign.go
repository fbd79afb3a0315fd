// Package sign writes numbered events. Every event is appended to a journal in
// memory, and what others see (the log, the counters, the recent events of the
// shell) are views folded from it.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

type Event struct {
	Number int
	Name   string
	Level  string
	Text   string
}

// Entry is one event in the journal.
type Entry struct {
	Seq    uint64
	At     time.Time
	Event  Event
	Fields []any
}

const capacity = 2048

// Log is the journal of one process with its views.
type Log struct {
	mu      sync.Mutex
	seq     uint64
	entries []Entry
	counts  map[string]uint64
	logger  *log.Logger
	// Observer is called with every event, if it is set before the first.
	Observer func(Entry)
}

func New(out io.Writer, level string, node string) *Log {
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: out}}
	logger.Context = log.NewContext(nil).Str("node", node).Value()
	return &Log{counts: map[string]uint64{}, logger: logger}
}

// Emit appends an event; pairs are keys and values.
func (s *Log) Emit(e Event, pairs ...any) {
	s.mu.Lock()
	s.seq++
	entry := Entry{Seq: s.seq, At: time.Now(), Event: e, Fields: pairs}
	if len(s.entries) >= capacity {
		s.entries = append(s.entries[:0:0], s.entries[capacity/2:]...)
	}
	s.entries = append(s.entries, entry)
	s.counts[e.Name]++
	s.mu.Unlock()
	if s.Observer != nil {
		s.Observer(entry)
	}
	line := s.logger.WithLevel(log.ParseLevel(e.Level))
	line.Int("event", e.Number)
	for i := 0; i+1 < len(pairs); i += 2 {
		line.Any(pairs[i].(string), pairs[i+1])
	}
	line.Msg(e.Text)
}

// Counts is how often each event was said.
func (s *Log) Counts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := make(map[string]uint64, len(s.counts))
	for name, n := range s.counts {
		view[name] = n
	}
	return view
}

// Recent is the newest events, oldest first.
func (s *Log) Recent(n int) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > len(s.entries) {
		n = len(s.entries)
	}
	return append([]Entry(nil), s.entries[len(s.entries)-n:]...)
}
