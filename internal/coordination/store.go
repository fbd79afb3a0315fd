package coordination

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Kinds of records. The strings are stored in snapshots and sent between nodes.
const (
	KindKey           = "key"
	KindLock          = "lock"
	KindCounter       = "count"
	KindInstanceState = "mark"
	KindIdempotency   = "claim"
	KindSpace         = "space"
)

// Store is the replicated state machine of one data shard. Every replica applies the same
// log entries in the same order, and so has the same records and responses.
type Store struct {
	mu           sync.RWMutex // guards the fields below
	appliedIndex ids.Index
	records      recordTable
	completed    completedRequests
	events       eventLog
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: recordTable{}, completed: newCompletedRequests(nil), events: newEventLog()}
}

// recordTable holds the records by kind and name. Each kind has a map, so that listing one
// kind does not scan the records of the others.
type recordTable map[string]map[string]rpc.CoordinationRecord

func (t recordTable) put(record rpc.CoordinationRecord) {
	if t[record.Kind] == nil {
		t[record.Kind] = map[string]rpc.CoordinationRecord{}
	}
	t[record.Kind][record.Name] = record
}

func recordLess(a, b rpc.CoordinationRecord) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

// Apply applies one committed log entry and returns its *rpc.CoordinationResponse. If an
// entry with the same request ID was applied before, Apply changes no record and returns the
// response to that entry.
func (s *Store) Apply(index ids.Index, body json.RawMessage) any {
	var request rpc.CoordinationRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return &rpc.CoordinationResponse{Code: errcode.InvalidCall.Number, Note: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedIndex = index
	if request.Operation == OpSet && request.ID != "" {
		request.ID = requestIDForSet(&request)
	}
	if first, ok := s.completed.lookup(request.ID); ok {
		return &first
	}
	response := s.transition(index, &request)
	// A set whose condition failed may be repeated with the same ID and another condition.
	if request.Operation != OpSet || response.Code == 0 {
		s.completed.add(request.ID, *response)
	}
	s.events.compact()
	return response
}

func (s *Store) transition(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	apply, ok := transitions[request.Operation]
	if !ok {
		return &rpc.CoordinationResponse{Code: errcode.InvalidCall.Number, Note: request.Operation}
	}
	return apply(s, index, request)
}

// reject returns the response to a request that conflicts with the current record.
func reject(code errcode.Code, current rpc.CoordinationRecord) *rpc.CoordinationResponse {
	return &rpc.CoordinationResponse{Code: code.Number, Index: current.Index, Revision: current.Revision, Holder: current.Holder, FencingToken: current.FencingToken, TTL: current.TTL}
}

// putRecord stores a record and adds an event with the value.
func (s *Store) putRecord(record rpc.CoordinationRecord, value json.RawMessage) {
	s.records.put(record)
	s.events.add(rpc.WatchEvent{Index: record.Index, Revision: record.Revision, Name: record.Name, Kind: record.Kind, Value: value})
}

// removeRecord deletes a record and adds an event for its deletion.
func (s *Store) removeRecord(index ids.Index, record rpc.CoordinationRecord) {
	delete(s.records[record.Kind], record.Name)
	s.events.add(rpc.WatchEvent{Index: index, Name: record.Name, Kind: record.Kind, Deleted: true})
}

// Get returns the record of a kind and name, and whether it exists.
func (s *Store) Get(kind, name string) (rpc.CoordinationRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.records[kind][name]
	return record, ok
}

// Len returns the number of records of a kind.
func (s *Store) Len(kind string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.records[kind])
}

// List returns the records of a kind whose names have the prefix, sorted by name, and the
// index of the last applied entry.
func (s *Store) List(kind, prefix string) ([]rpc.CoordinationRecord, ids.Index) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []rpc.CoordinationRecord
	for _, record := range s.records[kind] {
		if strings.HasPrefix(record.Name, prefix) {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, s.appliedIndex
}
