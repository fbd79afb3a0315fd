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

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/wire"
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
	records map[string]map[string]wire.BondRecord
	seen    map[string]wire.BondReceipt
	order   []string
	events  []wire.BondEvent
	times   []time.Time
	start   mark.Stamp
	starts  map[string]mark.Stamp
	applied mark.Stamp
}

func NewBook() *Book {
	return &Book{records: map[string]map[string]wire.BondRecord{}, seen: map[string]wire.BondReceipt{}, starts: map[string]mark.Stamp{}}
}

// of is the records of one kind, so that looking through one kind does not cost
// what the others weigh.
func (b *Book) of(kind string) map[string]wire.BondRecord {
	if b.records[kind] == nil {
		b.records[kind] = map[string]wire.BondRecord{}
	}
	return b.records[kind]
}

func less(a, z wire.BondRecord) bool {
	if a.Kind != z.Kind {
		return a.Kind < z.Kind
	}
	return a.Name < z.Name
}

// Apply folds one entry.
func (b *Book) Apply(index mark.Stamp, body json.RawMessage) any {
	var op wire.BondOp
	if err := json.Unmarshal(body, &op); err != nil {
		return &wire.BondReceipt{Code: fault.BadCall.No, Note: err.Error()}
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

func (b *Book) fold(index mark.Stamp, op *wire.BondOp) *wire.BondReceipt {
	refuse := func(code fault.Code, old wire.BondRecord) *wire.BondReceipt {
		return &wire.BondReceipt{Code: code.No, Stamp: old.Stamp, Rev: old.Rev, Holder: old.Holder, Fence: old.Fence, Ttl: old.Ttl}
	}
	switch op.Op {
	case "put", "drop":
		old, ok := b.of(Key)[op.Name]
		if op.If != nil && *op.If != old.Stamp {
			return refuse(fault.StampDiffers, old)
		}
		if op.Op == "drop" {
			if !ok {
				return refuse(fault.NoKey, old)
			}
			b.remove(index, old)
			return &wire.BondReceipt{Stamp: index}
		}
		b.set(wire.BondRecord{Name: op.Name, Kind: Key, Value: op.Value, Stamp: index})
		return &wire.BondReceipt{Stamp: index, Value: op.Value}
	case "set":
		old, ok := b.of(Key)[op.Name]
		if op.Rev != nil && (*op.Rev != old.Rev || ok && *op.Rev == 0) {
			return refuse(fault.StampDiffers, old)
		}
		rev := b.rise(index, spaceOf(op.Name))
		b.set(wire.BondRecord{Name: op.Name, Kind: Key, Value: op.Value, Rev: rev, Stamp: index})
		return &wire.BondReceipt{Stamp: index, Rev: rev}
	case "add":
		old := b.of(Count)[op.Name]
		count := old.Count + op.Delta
		b.set(wire.BondRecord{Name: op.Name, Kind: Count, Count: count, Stamp: index})
		return &wire.BondReceipt{Stamp: index, Count: count}
	case "acquire":
		old, ok := b.of(Lock)[op.Name]
		if ok && old.Holder != op.Holder {
			return refuse(fault.Held, old)
		}
		if ok {
			b.stretch(old, op.Ttl)
			return &wire.BondReceipt{Stamp: old.Stamp, Holder: old.Holder, Fence: old.Fence, Ttl: op.Ttl, Value: old.Value}
		}
		b.set(wire.BondRecord{Name: op.Name, Kind: Lock, Holder: op.Holder, Fence: index, Ttl: op.Ttl, Value: op.Value, Stamp: index})
		return &wire.BondReceipt{Stamp: index, Holder: op.Holder, Fence: index, Ttl: op.Ttl, Value: op.Value}
	case "stretch":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.Fence != op.Fence || old.Holder != op.Holder {
			return refuse(fault.NotHeld, old)
		}
		b.stretch(old, op.Ttl)
		return &wire.BondReceipt{Stamp: old.Stamp, Holder: old.Holder, Fence: old.Fence, Ttl: op.Ttl}
	case "release", "expire":
		old, ok := b.of(Lock)[op.Name]
		if !ok || old.Fence != op.Fence || op.Op == "release" && old.Holder != op.Holder {
			return refuse(fault.NotHeld, old)
		}
		b.remove(index, old)
		return &wire.BondReceipt{Stamp: index}
	case "claims", "unclaim", "settle", "sweep":
		return b.claim(index, op)
	case "mark":
		old, ok := b.of(Mark)[op.Name]
		if ok && (old.Seq > op.Seq || old.Holder == "leaving") {
			return refuse(fault.StampDiffers, old)
		}
		b.of(Mark)[op.Name] = wire.BondRecord{Name: op.Name, Kind: Mark, Holder: op.Holder, Seq: op.Seq, Stamp: index}
		return &wire.BondReceipt{Stamp: index, Holder: op.Holder}
	case "unmark":
		old, ok := b.of(Mark)[op.Name]
		if !ok || old.Seq > op.Seq {
			return refuse(fault.NoKey, old)
		}
		delete(b.of(Mark), op.Name)
		return &wire.BondReceipt{Stamp: index}
	}
	return &wire.BondReceipt{Code: fault.BadCall.No, Note: op.Op}
}

func (b *Book) set(record wire.BondRecord) {
	b.of(record.Kind)[record.Name] = record
	value := record.Value
	if record.Kind == Count {
		value, _ = json.Marshal(record.Count)
	}
	b.tell(wire.BondEvent{Stamp: record.Stamp, Rev: record.Rev, Name: record.Name, Kind: record.Kind, Value: value})
}

// stretch raises the time that a lock's grant starts with under a new owner; it
// never falls, for a call that asked for more may still count on it.
func (b *Book) stretch(lock wire.BondRecord, ttl int64) {
	lock.Ttl = max(lock.Ttl, ttl)
	b.of(Lock)[lock.Name] = lock
}

func (b *Book) remove(index mark.Stamp, record wire.BondRecord) {
	delete(b.of(record.Kind), record.Name)
	b.tell(wire.BondEvent{Stamp: index, Name: record.Name, Kind: record.Kind, Gone: true})
}

func (b *Book) tell(e wire.BondEvent) {
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
		b.events = append([]wire.BondEvent(nil), b.events[n:]...)
		b.times = append([]time.Time(nil), b.times[n:]...)
	}
}

// Get reads one name.
func (b *Book) Get(kind, name string) (wire.BondRecord, bool) {
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
func (b *Book) Seen(id string) (wire.BondReceipt, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	receipt, ok := b.seen[id]
	return receipt, ok
}

// All lists the records of a kind whose names have the prefix, in order, with
// the stamp up to which they hold.
func (b *Book) All(kind, prefix string) ([]wire.BondRecord, mark.Stamp) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []wire.BondRecord
	for _, record := range b.records[kind] {
		if strings.HasPrefix(record.Name, prefix) {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, b.applied
}

// Since is the events of a prefix after a stamp, and the stamp to resume from.
func (b *Book) Since(prefix string, from mark.Stamp, most int) (list []wire.BondEvent, next mark.Stamp, isKept bool) {
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

// Capture takes a copy of the state, to be written out later; values are shared, for
// they are never written to.
func (b *Book) Capture() func() (json.RawMessage, error) {
	state := b.copy()
	return func() (json.RawMessage, error) {
		sort.Slice(state.Records, func(i, j int) bool { return less(state.Records[i], state.Records[j]) })
		return json.Marshal(state)
	}
}

func (b *Book) copy() *wire.BondState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	state := &wire.BondState{Events: slices.Clone(b.events), Start: b.start, Applied: b.applied, Starts: maps.Clone(b.starts)}
	for _, kind := range b.records {
		for _, record := range kind {
			state.Records = append(state.Records, record)
		}
	}
	for _, id := range b.order {
		state.Seen = append(state.Seen, wire.BondSeen{Id: id, Receipt: b.seen[id]})
	}
	return state
}

// Load replaces the whole state.
func (b *Book) Load(raw json.RawMessage) error {
	var state wire.BondState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records, b.seen, b.order = map[string]map[string]wire.BondRecord{}, map[string]wire.BondReceipt{}, nil
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
		b.starts = map[string]mark.Stamp{}
	}
	b.times = make([]time.Time, len(b.events))
	for i := range b.times {
		b.times[i] = time.Now()
	}
	return nil
}
