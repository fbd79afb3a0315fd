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
	No    int
	Name  string
	Level string
	Text  string
}

// Entry is one event in the journal.
type Entry struct {
	Seq   uint64
	At    time.Time
	Event Event
	Pairs []any
}

const keep = 2048

// Sign is the journal of one process with its views.
type Sign struct {
	mu     sync.Mutex
	seq    uint64
	ring   []Entry
	counts map[string]uint64
	logger *log.Logger
	// Told is called with every event, if it is set before the first.
	Told func(Entry)
}

func New(out io.Writer, level string, node string) *Sign {
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: out}}
	logger.Context = log.NewContext(nil).Str("node", node).Value()
	return &Sign{counts: map[string]uint64{}, logger: logger}
}

// Say appends an event; pairs are keys and values.
func (s *Sign) Say(e Event, pairs ...any) {
	s.mu.Lock()
	s.seq++
	entry := Entry{Seq: s.seq, At: time.Now(), Event: e, Pairs: pairs}
	if len(s.ring) >= keep {
		s.ring = append(s.ring[:0:0], s.ring[keep/2:]...)
	}
	s.ring = append(s.ring, entry)
	s.counts[e.Name]++
	s.mu.Unlock()
	if s.Told != nil {
		s.Told(entry)
	}
	line := s.logger.WithLevel(log.ParseLevel(e.Level))
	line.Int("event", e.No)
	for i := 0; i+1 < len(pairs); i += 2 {
		line.Any(pairs[i].(string), pairs[i+1])
	}
	line.Msg(e.Text)
}

// Counts is how often each event was said.
func (s *Sign) Counts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := make(map[string]uint64, len(s.counts))
	for name, n := range s.counts {
		view[name] = n
	}
	return view
}

// Recent is the newest events, oldest first.
func (s *Sign) Recent(n int) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > len(s.ring) {
		n = len(s.ring)
	}
	return append([]Entry(nil), s.ring[len(s.ring)-n:]...)
}
