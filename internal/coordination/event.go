package coordination

import (
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// eventRetention is how long events are kept, so that a watch can resume after a lost
// connection or a change of leader.
const eventRetention = time.Minute

// eventLog holds the recent events of a shard, ordered by index. Retention uses the local
// clock, so replicas may keep different numbers of events; the events themselves are the same.
type eventLog struct {
	events  []rpc.WatchEvent
	addedAt []time.Time // when this replica added each event
	// compactedIndex is the index of the last dropped event. compactedRevisions has the last
	// dropped revision of each space.
	compactedIndex     ids.Index
	compactedRevisions map[string]ids.Index
}

func newEventLog() eventLog {
	return eventLog{compactedRevisions: map[string]ids.Index{}}
}

// restoreEventLog returns the event log of a snapshot. The retention of its events restarts.
func restoreEventLog(state *rpc.CoordinationState) eventLog {
	l := newEventLog()
	l.events, l.compactedIndex = state.Events, state.CompactedIndex
	if state.CompactedRevisions != nil {
		l.compactedRevisions = state.CompactedRevisions
	}
	l.addedAt = make([]time.Time, len(l.events))
	for i := range l.addedAt {
		l.addedAt[i] = time.Now()
	}
	return l
}

func (l *eventLog) add(event rpc.WatchEvent) {
	l.events = append(l.events, event)
	l.addedAt = append(l.addedAt, time.Now())
}

// compact drops the events that are older than eventRetention.
func (l *eventLog) compact() {
	n := 0
	for n < len(l.addedAt) && time.Since(l.addedAt[n]) > eventRetention {
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
	l.addedAt = append([]time.Time(nil), l.addedAt[n:]...)
}

// EventsSince returns at most limit events after an index whose names have the prefix, and
// the index to resume from. complete is false if events after that index were dropped.
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
