package coordination

import (
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// eventRetention is how long an event is kept, so that a watch can resume after its
// connection or the shard's leader was lost.
const eventRetention = time.Minute

// eventLog is the recent events of a shard in the order of their index. Its clock is the
// replica's own: replicas may keep a different number of events, and none a wrong one.
type eventLog struct {
	events []rpc.WatchEvent
	times  []time.Time // when each event was added here
	// compactedIndex is the index of the last event that was dropped, and
	// compactedRevisions the last revision that was dropped of each space.
	compactedIndex     ids.Index
	compactedRevisions map[string]ids.Index
}

func newEventLog() eventLog {
	return eventLog{compactedRevisions: map[string]ids.Index{}}
}

// restoreEventLog takes over events from a snapshot; their retention starts anew.
func restoreEventLog(state *rpc.CoordinationState) eventLog {
	l := newEventLog()
	l.events, l.compactedIndex = state.Events, state.Start
	if state.Starts != nil {
		l.compactedRevisions = state.Starts
	}
	l.times = make([]time.Time, len(l.events))
	for i := range l.times {
		l.times[i] = time.Now()
	}
	return l
}

func (l *eventLog) add(event rpc.WatchEvent) {
	l.events = append(l.events, event)
	l.times = append(l.times, time.Now())
}

// compact drops the events that are older than the retention.
func (l *eventLog) compact() {
	n := 0
	for n < len(l.times) && time.Since(l.times[n]) > eventRetention {
		n++
	}
	if n == 0 {
		return
	}
	l.compactedIndex = l.events[n-1].Index
	for _, event := range l.events[:n] {
		if space := spaceOf(event.Name); event.Revision > l.compactedRevisions[space] {
			l.compactedRevisions[space] = event.Revision
		}
	}
	l.events = append([]rpc.WatchEvent(nil), l.events[n:]...)
	l.times = append([]time.Time(nil), l.times[n:]...)
}

// EventsSince returns at most limit events under a prefix after an index, and the index to
// resume from. It is not complete if events after that index were dropped.
func (s *Store) EventsSince(prefix string, after ids.Index, limit int) (events []rpc.WatchEvent, next ids.Index, complete bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	log := &s.events
	if after < log.compactedIndex {
		return nil, s.appliedIndex, false
	}
	first := sort.Search(len(log.events), func(i int) bool { return log.events[i].Index > after })
	for _, event := range log.events[first:] {
		if !strings.HasPrefix(event.Name, prefix) {
			continue
		}
		if len(events) == limit {
			return events, events[limit-1].Index, true
		}
		events = append(events, event)
	}
	return events, max(s.appliedIndex, after), true
}
