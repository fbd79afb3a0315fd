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
	Key   = "key"
	Lock  = "lock"
	Count = "count"
	Mark  = "mark"
	Claim = "claim"
	Space = "space"

	seenKept   = 8192
	eventsKept = 60 * time.Second
)

// Book is one data part's state.
type Book struct {
	mu      sync.RWMutex
	records map[string]map[string]rpc.CoordinationRecord
	seen    map[string]rpc.CoordinationResponse
	order   []string
	events  []rpc.WatchEvent
	times   []time.Time
	start   ids.Index
	starts  map[string]ids.Index
	applied ids.Index
}

func NewBook() *Book {
	return &Book{records: map[string]map[string]rpc.CoordinationRecord{}, seen: map[string]rpc.CoordinationResponse{}, starts: map[string]ids.Index{}}
}

// of is the records of one kind, so that looking through one kind does not cost
// what the others weigh.
func (b *Book) of(kind string) map[string]rpc.CoordinationRecord {
	if b.records[kind] == nil {
		b.records[kind] = map[string]rpc.CoordinationRecord{}
	}
	return b.records[kind]
}

func less(a, z rpc.CoordinationRecord) bool {
	if a.Kind != z.Kind {
		return a.Kind < z.Kind
	}
	return a.Name < z.Name
}

// Apply folds one entry.
func (b *Book) Apply(index ids.Index, body json.RawMessage) any {
	var op rpc.CoordinationRequest
	if err := json.Unmarshal(body, &op); err != nil {
		return &rpc.CoordinationResponse{Code: errcode.BadCall.No, Note: err.Error()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applied = index
	if op.Operation == "set" && op.ID != "" {
		op.ID = setId(&op)
	}
	if op.ID != "" {
		if first, ok := b.seen[op.ID]; ok {
			return &first
		}
	}
	receipt := b.fold(index, &op)
	if op.ID != "" && (op.Operation != "set" || receipt.Code == 0) {
		b.seen[op.ID] = *receipt
		b.order = append(b.order, op.ID)
		if len(b.order) > seenKept {
			delete(b.seen, b.order[0])
			b.order = b.order[1:]
		}
	}
	b.trim()
	return receipt
}

func (b *Book) fold(index ids.Index, op *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	refuse := func(code errcode.Code, old rpc.CoordinationRecord) *rpc.CoordinationResponse {
		return &rpc.CoordinationResponse{Code: code.No, Index: old.Index, Revision: old.Revision, Holder: old.Holder, FencingToken: old.FencingToken, TTL: old.TTL}
	}
	switch op.Operation {
	case "put", "drop":
		old, ok := b.of(Key)[op.Name]
		if op.IfIndex != nil && *op.IfIndex != old.Index {
			return refuse(errcode.StampDiffers, old)
		}
		if op.Operation == "drop" {
			if !ok {
				return refuse(errcode.NoKey, old)
			}
			b.remove(index, old)
			return &rpc.CoordinationResponse{Index: index}
		}
		b.set(rpc.CoordinationRecord{Name: op.Name, Kind: Key, Value: op.Value, Index: index})
		return &rpc.CoordinationResponse{Index: index, Value: op.Value}
	case "set":
		old, ok := b.of(Key)[op.Name]
		if op.IfRevision != nil && (*op.IfRevision != old.Revision || ok && *op.IfRevision == 0) {
			return refuse(errcode.StampDiffers, old)
		}
		rev := b.rise(index, spaceOf(op.Name))
		b.set(rpc.CoordinationRecord{Name: op.Name, Kind: Key, Value: op.Value, Revision: rev, Index: index})
		return &rpc.CoordinationResponse{Index: index, Revision: rev}
	case "add":
		old := b.of(Count)[op.Name]
		count := old.Count + op.Delta
		b.set(rpc.CoordinationRecord{Name: op.Name, Kind: Count, Count: count, Index: index})
		return &rpc.CoordinationResponse{Index: index, Count: count}
	case "acquire":
		old, ok := b.of(Lock)[op.Name]
		if ok && old.Holder != op.Holder {
			return refuse(errcode.Held, old)
		}
		if ok {
			b.stretch(old, op.TTL)
			return &rpc.CoordinationResponse{Index: old.Index, Holder: old.Holder, FencingToken: old.FencingToken, TTL: op.TTL, Value: old.Value}
		}
		b.set(rpc.CoordinationRecord{Name: op.Name, Kind: Lock, Holder: op.Holder, FencingToken: index, TTL: op.TTL, Value: op.Value, Index: index})
		return &rpc.CoordinationResponse{Index: index, Holder: op.Holder, FencingToken: index, TTL: op.TTL, Value: op.Value}
	case "stretch":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.FencingToken != op.FencingToken || old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.stretch(old, op.TTL)
		return &rpc.CoordinationResponse{Index: old.Index, Holder: old.Holder, FencingToken: old.FencingToken, TTL: op.TTL}
	case "release", "expire":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.FencingToken != op.FencingToken || op.Operation == "release" && old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.remove(index, old)
		return &rpc.CoordinationResponse{Index: index}
	case "claims", "unclaim", "settle", "sweep":
		return b.claim(index, op)
	case "mark":
		old, ok := b.of(Mark)[op.Name]
		if ok && (old.Sequence > op.Sequence || old.Holder == "leaving") {
			return refuse(errcode.StampDiffers, old)
		}
		b.of(Mark)[op.Name] = rpc.CoordinationRecord{Name: op.Name, Kind: Mark, Holder: op.Holder, Sequence: op.Sequence, Index: index}
		return &rpc.CoordinationResponse{Index: index, Holder: op.Holder}
	case "unmark":
		old, ok := b.of(Mark)[op.Name]
		if !ok || old.Sequence > op.Sequence {
			return refuse(errcode.NoKey, old)
		}
		delete(b.of(Mark), op.Name)
		return &rpc.CoordinationResponse{Index: index}
	}
	return &rpc.CoordinationResponse{Code: errcode.BadCall.No, Note: op.Operation}
}

func (b *Book) set(record rpc.CoordinationRecord) {
	b.of(record.Kind)[record.Name] = record
	value := record.Value
	if record.Kind == Count {
		value, _ = json.Marshal(record.Count)
	}
	b.tell(rpc.WatchEvent{Index: record.Index, Revision: record.Revision, Name: record.Name, Kind: record.Kind, Value: value})
}

// stretch raises the time that a lock's grant starts with under a new owner; it
// never falls, for a call that asked for more may still count on it.
func (b *Book) stretch(lock rpc.CoordinationRecord, ttl int64) {
	lock.TTL = max(lock.TTL, ttl)
	b.of(Lock)[lock.Name] = lock
}

func (b *Book) remove(index ids.Index, record rpc.CoordinationRecord) {
	delete(b.of(record.Kind), record.Name)
	b.tell(rpc.WatchEvent{Index: index, Name: record.Name, Kind: record.Kind, Deleted: true})
}

func (b *Book) tell(e rpc.WatchEvent) {
	b.events = append(b.events, e)
	b.times = append(b.times, time.Now())
}

// trim drops events that every watch has had a minute to see.
func (b *Book) trim() {
	n := 0
	for n < len(b.times) && time.Since(b.times[n]) > eventsKept {
		n++
	}
	if n > 0 {
		b.start = b.events[n-1].Index
		for _, e := range b.events[:n] {
			if space := spaceOf(e.Name); e.Revision > b.starts[space] {
				b.starts[space] = e.Revision
			}
		}
		b.events = append([]rpc.WatchEvent(nil), b.events[n:]...)
		b.times = append([]time.Time(nil), b.times[n:]...)
	}
}

// Get reads one name.
func (b *Book) Get(kind, name string) (rpc.CoordinationRecord, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	record, ok := b.records[kind][name]
	return record, ok
}

// Size is how many records of a kind there are.
func (b *Book) Size(kind string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.records[kind])
}

// Seen is the receipt kept for a request id.
func (b *Book) Seen(id string) (rpc.CoordinationResponse, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	receipt, ok := b.seen[id]
	return receipt, ok
}

// All lists the records of a kind whose names have the prefix, in order, with
// the stamp up to which they hold.
func (b *Book) All(kind, prefix string) ([]rpc.CoordinationRecord, ids.Index) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []rpc.CoordinationRecord
	for _, record := range b.records[kind] {
		if strings.HasPrefix(record.Name, prefix) {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, b.applied
}

// Since is the events of a prefix after a stamp, and the stamp to resume from.
func (b *Book) Since(prefix string, from ids.Index, most int) (list []rpc.WatchEvent, next ids.Index, isKept bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if from < b.start {
		return nil, b.applied, false
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
	return list, max(b.applied, from), true
}

// Snapshot takes a copy of the state, to be written out later; values are shared, for
// they are never written to.
func (b *Book) Snapshot() func() (json.RawMessage, error) {
	state := b.copy()
	return func() (json.RawMessage, error) {
		sort.Slice(state.Records, func(i, j int) bool { return less(state.Records[i], state.Records[j]) })
		return json.Marshal(state)
	}
}

func (b *Book) copy() *rpc.CoordinationState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	state := &rpc.CoordinationState{Events: slices.Clone(b.events), Start: b.start, Applied: b.applied, Starts: maps.Clone(b.starts)}
	for _, kind := range b.records {
		for _, record := range kind {
			state.Records = append(state.Records, record)
		}
	}
	for _, id := range b.order {
		state.Completed = append(state.Completed, rpc.CompletedRequest{ID: id, Response: b.seen[id]})
	}
	return state
}

// Restore replaces the whole state.
func (b *Book) Restore(raw json.RawMessage) error {
	var state rpc.CoordinationState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records, b.seen, b.order = map[string]map[string]rpc.CoordinationRecord{}, map[string]rpc.CoordinationResponse{}, nil
	for _, record := range state.Records {
		b.of(record.Kind)[record.Name] = record
	}
	for _, s := range state.Completed {
		b.seen[s.ID] = s.Response
		b.order = append(b.order, s.ID)
	}
	b.events, b.start, b.applied = state.Events, state.Start, state.Applied
	b.starts = state.Starts
	if b.starts == nil {
		b.starts = map[string]ids.Index{}
	}
	b.times = make([]time.Time, len(b.events))
	for i := range b.times {
		b.times[i] = time.Now()
	}
	return nil
}
