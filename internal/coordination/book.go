// Package coordination is the coordination that applications call: locks, elections,
// counters, small keys and watches. The Book is the replicated state of one
// part: it folds entries the same way on every member, keeps the receipt of
// each request id so that a repeat gets the first one, and keeps the events of
// the last minute so that watches resume through a change of owner.
package coordination

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	KindKey           = "key"
	KindLock          = "lock"
	KindCounter       = "count"
	KindInstanceState = "mark"
	KindIdempotency   = "claim"
	KindSpace         = "space"

	maxResponses   = 8192
	eventRetention = 60 * time.Second
)

// Store is one data part's state.
type Store struct {
	mu                 sync.RWMutex
	records            map[string]map[string]rpc.CoordinationRecord
	responses          map[string]rpc.CoordinationResponse
	responseOrder      []string
	events             []rpc.WatchEvent
	eventTimes         []time.Time
	compactedIndex     ids.Index
	compactedRevisions map[string]ids.Index
	appliedIndex       ids.Index
}

func NewStore() *Store {
	return &Store{records: map[string]map[string]rpc.CoordinationRecord{}, responses: map[string]rpc.CoordinationResponse{}, compactedRevisions: map[string]ids.Index{}}
}

// recordsOf is the records of one kind, so that looking through one kind does not cost
// what the others weigh.
func (b *Store) recordsOf(kind string) map[string]rpc.CoordinationRecord {
	if b.records[kind] == nil {
		b.records[kind] = map[string]rpc.CoordinationRecord{}
	}
	return b.records[kind]
}

func recordLess(a, z rpc.CoordinationRecord) bool {
	if a.Kind != z.Kind {
		return a.Kind < z.Kind
	}
	return a.Name < z.Name
}

// Apply folds one entry.
func (b *Store) Apply(index ids.Index, body json.RawMessage) any {
	var op rpc.CoordinationRequest
	if err := json.Unmarshal(body, &op); err != nil {
		return &rpc.CoordinationResponse{Code: errcode.BadCall.No, Note: err.Error()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.appliedIndex = index
	if op.Operation == "set" && op.ID != "" {
		op.ID = setRequestID(&op)
	}
	if op.ID != "" {
		if first, ok := b.responses[op.ID]; ok {
			return &first
		}
	}
	receipt := b.execute(index, &op)
	if op.ID != "" && (op.Operation != "set" || receipt.Code == 0) {
		b.responses[op.ID] = *receipt
		b.responseOrder = append(b.responseOrder, op.ID)
		if len(b.responseOrder) > maxResponses {
			delete(b.responses, b.responseOrder[0])
			b.responseOrder = b.responseOrder[1:]
		}
	}
	b.compactEvents()
	return receipt
}

func (b *Store) execute(index ids.Index, op *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	refuse := func(code errcode.Code, old rpc.CoordinationRecord) *rpc.CoordinationResponse {
		return &rpc.CoordinationResponse{Code: code.No, Index: old.Index, Revision: old.Revision, Holder: old.Holder, FencingToken: old.FencingToken, TTL: old.TTL}
	}
	switch op.Operation {
	case "put", "drop":
		old, ok := b.recordsOf(KindKey)[op.Name]
		if op.IfIndex != nil && *op.IfIndex != old.Index {
			return refuse(errcode.StampDiffers, old)
		}
		if op.Operation == "drop" {
			if !ok {
				return refuse(errcode.NoKey, old)
			}
			b.removeRecord(index, old)
			return &rpc.CoordinationResponse{Index: index}
		}
		b.putRecord(rpc.CoordinationRecord{Name: op.Name, Kind: KindKey, Value: op.Value, Index: index})
		return &rpc.CoordinationResponse{Index: index, Value: op.Value}
	case "set":
		old, ok := b.recordsOf(KindKey)[op.Name]
		if op.IfRevision != nil && (*op.IfRevision != old.Revision || ok && *op.IfRevision == 0) {
			return refuse(errcode.StampDiffers, old)
		}
		rev := b.nextRevision(index, spaceOf(op.Name))
		b.putRecord(rpc.CoordinationRecord{Name: op.Name, Kind: KindKey, Value: op.Value, Revision: rev, Index: index})
		return &rpc.CoordinationResponse{Index: index, Revision: rev}
	case "add":
		old := b.recordsOf(KindCounter)[op.Name]
		count := old.Count + op.Delta
		b.putRecord(rpc.CoordinationRecord{Name: op.Name, Kind: KindCounter, Count: count, Index: index})
		return &rpc.CoordinationResponse{Index: index, Count: count}
	case "acquire":
		old, ok := b.recordsOf(KindLock)[op.Name]
		if ok && old.Holder != op.Holder {
			return refuse(errcode.Held, old)
		}
		if ok {
			b.extendTTL(old, op.TTL)
			return &rpc.CoordinationResponse{Index: old.Index, Holder: old.Holder, FencingToken: old.FencingToken, TTL: op.TTL, Value: old.Value}
		}
		b.putRecord(rpc.CoordinationRecord{Name: op.Name, Kind: KindLock, Holder: op.Holder, FencingToken: index, TTL: op.TTL, Value: op.Value, Index: index})
		return &rpc.CoordinationResponse{Index: index, Holder: op.Holder, FencingToken: index, TTL: op.TTL, Value: op.Value}
	case "stretch":
		old, ok := b.recordsOf(KindLock)[op.Name]
		if !ok || old.FencingToken != op.FencingToken || old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.extendTTL(old, op.TTL)
		return &rpc.CoordinationResponse{Index: old.Index, Holder: old.Holder, FencingToken: old.FencingToken, TTL: op.TTL}
	case "release", "expire":
		old, ok := b.recordsOf(KindLock)[op.Name]
		if !ok || old.FencingToken != op.FencingToken || op.Operation == "release" && old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.removeRecord(index, old)
		return &rpc.CoordinationResponse{Index: index}
	case "claims", "unclaim", "settle", "sweep":
		return b.executeIdempotency(index, op)
	case "mark":
		old, ok := b.recordsOf(KindInstanceState)[op.Name]
		if ok && (old.Sequence > op.Sequence || old.Holder == "leaving") {
			return refuse(errcode.StampDiffers, old)
		}
		b.recordsOf(KindInstanceState)[op.Name] = rpc.CoordinationRecord{Name: op.Name, Kind: KindInstanceState, Holder: op.Holder, Sequence: op.Sequence, Index: index}
		return &rpc.CoordinationResponse{Index: index, Holder: op.Holder}
	case "unmark":
		old, ok := b.recordsOf(KindInstanceState)[op.Name]
		if !ok || old.Sequence > op.Sequence {
			return refuse(errcode.NoKey, old)
		}
		delete(b.recordsOf(KindInstanceState), op.Name)
		return &rpc.CoordinationResponse{Index: index}
	}
	return &rpc.CoordinationResponse{Code: errcode.BadCall.No, Note: op.Operation}
}

func (b *Store) putRecord(record rpc.CoordinationRecord) {
	b.recordsOf(record.Kind)[record.Name] = record
	value := record.Value
	if record.Kind == KindCounter {
		value, _ = json.Marshal(record.Count)
	}
	b.publish(rpc.WatchEvent{Index: record.Index, Revision: record.Revision, Name: record.Name, Kind: record.Kind, Value: value})
}

// extendTTL raises the time that a lock's grant starts with under a new owner; it
// never falls, for a call that asked for more may still count on it.
func (b *Store) extendTTL(lock rpc.CoordinationRecord, ttl int64) {
	lock.TTL = max(lock.TTL, ttl)
	b.recordsOf(KindLock)[lock.Name] = lock
}

func (b *Store) removeRecord(index ids.Index, record rpc.CoordinationRecord) {
	delete(b.recordsOf(record.Kind), record.Name)
	b.publish(rpc.WatchEvent{Index: index, Name: record.Name, Kind: record.Kind, Deleted: true})
}

func (b *Store) publish(e rpc.WatchEvent) {
	b.events = append(b.events, e)
	b.eventTimes = append(b.eventTimes, time.Now())
}

// compactEvents drops events that every watch has had a minute to see.
func (b *Store) compactEvents() {
	n := 0
	for n < len(b.eventTimes) && time.Since(b.eventTimes[n]) > eventRetention {
		n++
	}
	if n > 0 {
		b.compactedIndex = b.events[n-1].Index
		for _, e := range b.events[:n] {
			if space := spaceOf(e.Name); e.Revision > b.compactedRevisions[space] {
				b.compactedRevisions[space] = e.Revision
			}
		}
		b.events = append([]rpc.WatchEvent(nil), b.events[n:]...)
		b.eventTimes = append([]time.Time(nil), b.eventTimes[n:]...)
	}
}

// Get reads one name.
func (b *Store) Get(kind, name string) (rpc.CoordinationRecord, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	record, ok := b.records[kind][name]
	return record, ok
}

// Len is how many records of a kind there are.
func (b *Store) Len(kind string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.records[kind])
}

// ResponseTo is the receipt kept for a request id.
func (b *Store) ResponseTo(id string) (rpc.CoordinationResponse, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	receipt, ok := b.responses[id]
	return receipt, ok
}

// List lists the records of a kind whose names have the prefix, in order, with
// the stamp up to which they hold.
func (b *Store) List(kind, prefix string) ([]rpc.CoordinationRecord, ids.Index) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []rpc.CoordinationRecord
	for _, record := range b.records[kind] {
		if strings.HasPrefix(record.Name, prefix) {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, b.appliedIndex
}

// EventsSince is the events of a prefix after a stamp, and the stamp to resume from.
func (b *Store) EventsSince(prefix string, from ids.Index, most int) (list []rpc.WatchEvent, next ids.Index, isKept bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if from < b.compactedIndex {
		return nil, b.appliedIndex, false
	}
	at := sort.Search(len(b.events), func(i int) bool { return b.events[i].Index > from })
	for _, e := range b.events[at:] {
		if strings.HasPrefix(e.Name, prefix) {
			if len(list) == most {
				return list, list[most-1].Index, true
			}
			list = append(list, e)
		}
	}
	return list, max(b.appliedIndex, from), true
}

// Snapshot takes a copy of the state, to be written out later; values are shared, for
// they are never written to.
func (b *Store) Snapshot() func() (json.RawMessage, error) {
	state := b.state()
	return func() (json.RawMessage, error) {
		sort.Slice(state.Records, func(i, j int) bool { return recordLess(state.Records[i], state.Records[j]) })
		return json.Marshal(state)
	}
}

func (b *Store) state() *rpc.CoordinationState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	state := &rpc.CoordinationState{Events: slices.Clone(b.events), Start: b.compactedIndex, Applied: b.appliedIndex, Starts: maps.Clone(b.compactedRevisions)}
	for _, kind := range b.records {
		for _, record := range kind {
			state.Records = append(state.Records, record)
		}
	}
	for _, id := range b.responseOrder {
		state.Completed = append(state.Completed, rpc.CompletedRequest{ID: id, Response: b.responses[id]})
	}
	return state
}

// Restore replaces the whole state.
func (b *Store) Restore(raw json.RawMessage) error {
	var state rpc.CoordinationState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records, b.responses, b.responseOrder = map[string]map[string]rpc.CoordinationRecord{}, map[string]rpc.CoordinationResponse{}, nil
	for _, record := range state.Records {
		b.recordsOf(record.Kind)[record.Name] = record
	}
	for _, s := range state.Completed {
		b.responses[s.ID] = s.Response
		b.responseOrder = append(b.responseOrder, s.ID)
	}
	b.events, b.compactedIndex, b.appliedIndex = state.Events, state.Start, state.Applied
	b.compactedRevisions = state.Starts
	if b.compactedRevisions == nil {
		b.compactedRevisions = map[string]ids.Index{}
	}
	b.eventTimes = make([]time.Time, len(b.events))
	for i := range b.eventTimes {
		b.eventTimes[i] = time.Now()
	}
	return nil
}
