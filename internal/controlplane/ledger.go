// Package plan turns change sets and what servers report into epochs. The
// Ledger is the replicated state of the configuration part: the groups of the
// epoch in force, and the receipts of the change sets that were accepted. Each
// entry is one whole epoch, written as what differs from the one before.
package controlplane

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The groups by name; each service has a target list beside them.
const (
	Routes   = "routes/"
	Services = "services"
	Limits   = "limits"
	Shares   = "shares"
	Manners  = "manners"
	Targets  = "targets/"

	routeBuckets = 16
	memoryOfOld  = 4096 // change sets remembered by entries of earlier builds
)

// bucket is the group that a mapping lies in. Routes are cut into a few groups
// by name, so that a small change to a large configuration moves a small group.
func bucket(name string) string {
	return fmt.Sprintf("%s%02d", Routes, ids.Score("mapping", name)%routeBuckets)
}

// Sheet is one epoch as it stands; it is never written to after it was made.
type Sheet struct {
	Binding ids.Epoch // the last that bore a change set or took a target away
	Epoch   ids.Epoch
	Changed ids.Epoch
	Version ids.Version
	Groups  map[string]rpc.Group
	Changes []rpc.ChangeReceipt

	sum  atomic.Pointer[string]
	made time.Time // when it was folded here
}

// Age is for how long this node has held the epoch.
func (s *Sheet) Age() time.Duration { return time.Since(s.made) }

// pastKept is how many epochs are kept to tell what changed since.
const pastKept = 64

// Ledger folds the configuration part.
type Ledger struct {
	mu    sync.RWMutex
	sheet *Sheet
	past  []*Sheet // the epochs before, newest last
	Told  func(*Sheet, *rpc.Planned)
}

func NewLedger() *Ledger { return &Ledger{sheet: &Sheet{Groups: map[string]rpc.Group{}}} }

// Digest is the MD5 that the distribution tells groups apart by.
func Digest(data []byte) string {
	sum := md5.Sum(data)
	return hex.EncodeToString(sum[:])
}

// Apply folds one epoch; one that does not follow the last is not taken.
func (l *Ledger) Apply(index ids.Stamp, body json.RawMessage) any {
	var planned rpc.Planned
	if err := json.Unmarshal(body, &planned); err != nil {
		return false
	}
	l.mu.Lock()
	old := l.sheet
	if planned.Epoch != old.Epoch+1 {
		l.mu.Unlock()
		return false
	}
	sheet := &Sheet{Epoch: planned.Epoch, Changed: old.Changed, Version: old.Version, Groups: maps.Clone(old.Groups), Changes: old.Changes, made: time.Now()}
	for name, data := range planned.Put {
		sheet.Groups[name] = rpc.Group{Digest: Digest(data), Stamp: ids.Stamp(planned.Epoch), Data: data}
	}
	for _, name := range planned.Drop {
		delete(sheet.Groups, name)
	}
	sheet.Binding = old.Binding
	if planned.Change != nil || takesAway(old, sheet) {
		sheet.Binding = planned.Epoch
	}
	if planned.Change != nil {
		sheet.Changed = planned.Epoch
		if planned.Change.Version > 0 {
			sheet.Version = planned.Change.Version
		}
		sheet.Changes = remember(old.Changes, planned.Change, planned.Memory)
	}
	l.sheet = sheet
	if l.past = append(l.past, old); len(l.past) > pastKept {
		l.past = append([]*Sheet(nil), l.past[len(l.past)-pastKept:]...)
	}
	l.mu.Unlock()
	if l.Told != nil {
		l.Told(sheet, &planned)
	}
	return true
}

// remember adds a change set to those that are remembered. How many they may be
// stands in the entry, so that all members fold the same whatever their settings say.
func remember(old []rpc.ChangeReceipt, change *rpc.ChangeReceipt, most int) []rpc.ChangeReceipt {
	if most == 0 {
		most = memoryOfOld
	}
	if len(old) >= most {
		old = old[len(old)-most+1:]
	}
	return append(slices.Clone(old), *change)
}

// Past is an epoch that was in force lately, or is; nil if it is not kept.
func (l *Ledger) Past(epoch ids.Epoch) *Sheet {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.sheet.Epoch == epoch {
		return l.sheet
	}
	for i := len(l.past) - 1; i >= 0; i-- {
		if l.past[i].Epoch == epoch {
			return l.past[i]
		}
	}
	return nil
}

// Held is a group's data under a digest, of the epochs kept.
func (l *Ledger) Held(name, digest string) (json.RawMessage, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i := len(l.past) - 1; i >= 0; i-- {
		if group, ok := l.past[i].Groups[name]; ok && group.Digest == digest {
			return group.Data, true
		}
	}
	return nil, false
}

// Sheet is the epoch in force, as far as this member knows.
func (l *Ledger) Sheet() *Sheet {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sheet
}

// Capture takes hold of the epoch in force, which is never written to.
func (l *Ledger) Capture() func() (json.RawMessage, error) {
	s := l.Sheet()
	return func() (json.RawMessage, error) { return s.write() }
}

func (s *Sheet) write() (json.RawMessage, error) {
	return json.Marshal(rpc.LedgerState{Epoch: s.Epoch, Changed: s.Changed, Version: s.Version, Groups: s.Groups, Changes: s.Changes})
}

func (l *Ledger) Load(raw json.RawMessage) error {
	var state rpc.LedgerState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	if state.Groups == nil {
		state.Groups = map[string]rpc.Group{}
	}
	l.mu.Lock()
	l.sheet = &Sheet{Epoch: state.Epoch, Binding: state.Epoch, Changed: state.Changed, Version: state.Version, Groups: state.Groups, Changes: state.Changes}
	l.mu.Unlock()
	return nil
}
