package coordination

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Snapshot copies the state and returns a function that encodes the copy. The copy shares the
// values of records, which are never modified in place.
func (s *Store) Snapshot() func() (json.RawMessage, error) {
	state := s.state()
	return func() (json.RawMessage, error) {
		sort.Slice(state.Records, func(i, j int) bool { return recordLess(state.Records[i], state.Records[j]) })
		return json.Marshal(state)
	}
}

func (s *Store) state() *rpc.CoordinationState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := &rpc.CoordinationState{
		Applied:            s.appliedIndex,
		Events:             slices.Clone(s.events.events),
		CompactedIndex:     s.events.compactedIndex,
		CompactedRevisions: maps.Clone(s.events.compactedRevisions),
	}
	state.Completed = append(state.Completed, s.completed.list()...)
	for _, kind := range s.records {
		for _, record := range kind {
			state.Records = append(state.Records, record)
		}
	}
	return state
}

// Restore replaces the complete state with one that was encoded by Snapshot.
func (s *Store) Restore(raw json.RawMessage) error {
	var state rpc.CoordinationState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = recordTable{}
	for _, record := range state.Records {
		s.records.put(record)
	}
	s.appliedIndex = state.Applied
	s.completed = newCompletedRequests(state.Completed)
	s.events = restoreEventLog(&state)
	return nil
}
