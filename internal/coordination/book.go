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
	records map[string]map[string]rpc.BondRecord
	seen    map[string]rpc.BondReceipt
	order   []string
	events  []rpc.BondEvent
	times   []time.Time
	start   ids.Stamp
	starts  map[string]ids.Stamp
	applied ids.Stamp
}

func NewBook() *Book {
	return &Book{records: map[string]map[string]rpc.BondRecord{}, seen: map[string]rpc.BondReceipt{}, starts: map[string]ids.Stamp{}}
}

// of is the records of one kind, so that looking through one kind does not cost
// what the others weigh.
func (b *Book) of(kind string) map[string]rpc.BondRecord {
	if b.records[kind] == nil {
		b.records[kind] = map[string]rpc.BondRecord{}
	}
	return b.records[kind]
}

func less(a, z rpc.BondRecord) bool {
	if a.Kind != z.Kind {
		return a.Kind < z.Kind
	}
	return a.Name < z.Name
}

// Apply folds one entry.
func (b *Book) Apply(index ids.Stamp, body json.RawMessage) any {
	var op rpc.BondOp
	if err := json.Unmarshal(body, &op); err != nil {
		return &rpc.BondReceipt{Code: errcode.BadCall.No, Note: err.Error()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applied = index
	if op.Op == "set" && op.Id != "" {
		op.Id = setId(&op)
	}
	if op.Id != "" {
		if first, ok := b.seen[op.Id]; ok {
			return &first
		}
	}
	receipt := b.fold(index, &op)
	if op.Id != "" && (op.Op != "set" || receipt.Code == 0) {
		b.seen[op.Id] = *receipt
		b.order = append(b.order, op.Id)
		if len(b.order) > seenKept {
			delete(b.seen, b.order[0])
			b.order = b.order[1:]
		}
	}
	b.trim()
	return receipt
}

func (b *Book) fold(index ids.Stamp, op *rpc.BondOp) *rpc.BondReceipt {
	refuse := func(code errcode.Code, old rpc.BondRecord) *rpc.BondReceipt {
		return &rpc.BondReceipt{Code: code.No, Stamp: old.Stamp, Rev: old.Rev, Holder: old.Holder, Fence: old.Fence, Ttl: old.Ttl}
	}
	switch op.Op {
	case "put", "drop":
		old, ok := b.of(Key)[op.Name]
		if op.If != nil && *op.If != old.Stamp {
			return refuse(errcode.StampDiffers, old)
		}
		if op.Op == "drop" {
			if !ok {
				return refuse(errcode.NoKey, old)
			}
			b.remove(index, old)
			return &rpc.BondReceipt{Stamp: index}
		}
		b.set(rpc.BondRecord{Name: op.Name, Kind: Key, Value: op.Value, Stamp: index})
		return &rpc.BondReceipt{Stamp: index, Value: op.Value}
	case "set":
		old, ok := b.of(Key)[op.Name]
		if op.Rev != nil && (*op.Rev != old.Rev || ok && *op.Rev == 0) {
			return refuse(errcode.StampDiffers, old)
		}
		rev := b.rise(index, spaceOf(op.Name))
		b.set(rpc.BondRecord{Name: op.Name, Kind: Key, Value: op.Value, Rev: rev, Stamp: index})
		return &rpc.BondReceipt{Stamp: index, Rev: rev}
	case "add":
		old := b.of(Count)[op.Name]
		count := old.Count + op.Delta
		b.set(rpc.BondRecord{Name: op.Name, Kind: Count, Count: count, Stamp: index})
		return &rpc.BondReceipt{Stamp: index, Count: count}
	case "acquire":
		old, ok := b.of(Lock)[op.Name]
		if ok && old.Holder != op.Holder {
			return refuse(errcode.Held, old)
		}
		if ok {
			b.stretch(old, op.Ttl)
			return &rpc.BondReceipt{Stamp: old.Stamp, Holder: old.Holder, Fence: old.Fence, Ttl: op.Ttl, Value: old.Value}
		}
		b.set(rpc.BondRecord{Name: op.Name, Kind: Lock, Holder: op.Holder, Fence: index, Ttl: op.Ttl, Value: op.Value, Stamp: index})
		return &rpc.BondReceipt{Stamp: index, Holder: op.Holder, Fence: index, Ttl: op.Ttl, Value: op.Value}
	case "stretch":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.Fence != op.Fence || old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.stretch(old, op.Ttl)
		return &rpc.BondReceipt{Stamp: old.Stamp, Holder: old.Holder, Fence: old.Fence, Ttl: op.Ttl}
	case "release", "expire":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.Fence != op.Fence || op.Op == "release" && old.Holder != op.Holder {
			return refuse(errcode.NotHeld, old)
		}
		b.remove(index, old)
		return &rpc.BondReceipt{Stamp: index}
	case "claims", "unclaim", "settle", "sweep":
		return b.claim(index, op)
	case "mark":
		old, ok := b.of(Mark)[op.Name]
		if ok && (old.Seq > op.Seq || old.Holder == "leaving") {
			return refuse(errcode.StampDiffers, old)
		}
		b.of(Mark)[op.Name] = rpc.BondRecord{Name: op.Name, Kind: Mark, Holder: op.Holder, Seq: op.Seq, Stamp: index}
		return &rpc.BondReceipt{Stamp: index, Holder: op.Holder}
	case "unmark":
		old, ok := b.of(Mark)[op.Name]
		if !ok || old.Seq > op.Seq {
			return refuse(errcode.NoKey, old)
		}
		delete(b.of(Mark), op.Name)
		return &rpc.BondReceipt{Stamp: index}
	}
	return &rpc.BondReceipt{Code: errcode.BadCall.No, Note: op.Op}
}

func (b *Book) set(record rpc.BondRecord) {
	b.of(record.Kind)[record.Name] = record
	value := record.Value
	if record.Kind == Count {
		value, _ = json.Marshal(record.Count)
	}
	b.tell(rpc.BondEvent{Stamp: record.Stamp, Rev: record.Rev, Name: record.Name, Kind: record.Kind, Value: value})
}

// stretch raises the time that a lock's grant starts with under a new owner; it
// never falls, for a call that asked for more may still count on it.
func (b *Book) stretch(lock rpc.BondRecord, ttl int64) {
	lock.Ttl = max(lock.Ttl, ttl)
	b.of(Lock)[lock.Name] = lock
}

func (b *Book) remove(index ids.Stamp, record rpc.BondRecord) {
	delete(b.of(record.Kind), record.Name)
	b.tell(rpc.BondEvent{Stamp: index, Name: record.Name, Kind: record.Kind, Gone: true})
}

func (b *Book) tell(e rpc.BondEvent) {
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
		b.start = b.events[n-1].Stamp
		for _, e := range b.events[:n] {
			if space := spaceOf(e.Name); e.Rev > b.starts[space] {
				b.starts[space] = e.Rev
			}
		}
		b.events = append([]rpc.BondEvent(nil), b.events[n:]...)
		b.times = append([]time.Time(nil), b.times[n:]...)
	}
}

// Get reads one name.
func (b *Book) Get(kind, name string) (rpc.BondRecord, bool) {
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
func (b *Book) Seen(id string) (rpc.BondReceipt, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	receipt, ok := b.seen[id]
	return receipt, ok
}

// All lists the records of a kind whose names have the prefix, in order, with
// the stamp up to which they hold.
func (b *Book) All(kind, prefix string) ([]rpc.BondRecord, ids.Stamp) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []rpc.BondRecord
	for _, record := range b.records[kind] {
		if strings.HasPrefix(record.Name, prefix) {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, b.applied
}

// Since is the events of a prefix after a stamp, and the stamp to resume from.
func (b *Book) Since(prefix string, from ids.Stamp, most int) (list []rpc.BondEvent, next ids.Stamp, isKept bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if from < b.start {
		return nil, b.applied, false
	}
	at := sort.Search(len(b.events), func(i int) bool { return b.events[i].Stamp > from })
	for _, e := range b.events[at:] {
		if strings.HasPrefix(e.Name, prefix) {
			if len(list) == most {
				return list, list[most-1].Stamp, true
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

func (b *Book) copy() *rpc.BondState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	state := &rpc.BondState{Events: slices.Clone(b.events), Start: b.start, Applied: b.applied, Starts: maps.Clone(b.starts)}
	for _, kind := range b.records {
		for _, record := range kind {
			state.Records = append(state.Records, record)
		}
	}
	for _, id := range b.order {
		state.Seen = append(state.Seen, rpc.BondSeen{Id: id, Receipt: b.seen[id]})
	}
	return state
}

// Restore replaces the whole state.
func (b *Book) Restore(raw json.RawMessage) error {
	var state rpc.BondState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records, b.seen, b.order = map[string]map[string]rpc.BondRecord{}, map[string]rpc.BondReceipt{}, nil
	for _, record := range state.Records {
		b.of(record.Kind)[record.Name] = record
	}
	for _, s := range state.Seen {
		b.seen[s.Id] = s.Receipt
		b.order = append(b.order, s.Id)
	}
	b.events, b.start, b.applied = state.Events, state.Start, state.Applied
	b.starts = state.Starts
	if b.starts == nil {
		b.starts = map[string]ids.Stamp{}
	}
	b.times = make([]time.Time, len(b.events))
	for i := range b.times {
		b.times[i] = time.Now()
	}
	return nil
}
