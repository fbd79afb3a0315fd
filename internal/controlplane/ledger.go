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
	RoutesPrefix      = "routes/"
	ServicesGroup     = "services"
	LimitsGroup       = "limits"
	SharesGroup       = "shares"
	ClientLimitsGroup = "manners"
	TargetsPrefix     = "targets/"

	routeBuckets         = 16
	defaultChangeHistory = 4096 // change sets remembered by entries of earlier builds
)

// routeGroup is the group that a mapping lies in. Routes are cut into a few groups
// by name, so that a small change to a large configuration moves a small group.
func routeGroup(name string) string {
	return fmt.Sprintf("%s%02d", RoutesPrefix, ids.Hash("mapping", name)%routeBuckets)
}

// EpochState is one epoch as it stands; it is never written to after it was made.
type EpochState struct {
	LastBinding ids.Epoch // the last that bore a change set or took a target away
	Epoch       ids.Epoch
	LastChange  ids.Epoch
	Version     ids.Version
	Groups      map[string]rpc.Group
	Changes     []rpc.ChangeResult

	manifestDigest atomic.Pointer[string]
	appliedAt      time.Time // when it was folded here
}

// Age is for how long this node has held the epoch.
func (e *EpochState) Age() time.Duration { return time.Since(e.appliedAt) }

// maxPreviousEpochs is how many epochs are kept to tell what changed since.
const maxPreviousEpochs = 64

// ConfigState folds the configuration part.
type ConfigState struct {
	mu       sync.RWMutex
	current  *EpochState
	previous []*EpochState // the epochs before, newest last
	OnCommit func(*EpochState, *rpc.EpochEntry)
}

func NewConfigState() *ConfigState {
	return &ConfigState{current: &EpochState{Groups: map[string]rpc.Group{}}}
}

// Digest is the MD5 that the distribution tells groups apart by.
func Digest(data []byte) string {
	sum := md5.Sum(data)
	return hex.EncodeToString(sum[:])
}

// Apply folds one epoch; one that does not follow the last is not taken.
func (c *ConfigState) Apply(index ids.Index, body json.RawMessage) any {
	var planned rpc.EpochEntry
	if err := json.Unmarshal(body, &planned); err != nil {
		return false
	}
	c.mu.Lock()
	old := c.current
	if planned.Epoch != old.Epoch+1 {
		c.mu.Unlock()
		return false
	}
	next := &EpochState{Epoch: planned.Epoch, LastChange: old.LastChange, Version: old.Version, Groups: maps.Clone(old.Groups), Changes: old.Changes, appliedAt: time.Now()}
	for name, data := range planned.Put {
		next.Groups[name] = rpc.Group{Digest: Digest(data), Index: ids.Index(planned.Epoch), Data: data}
	}
	for _, name := range planned.Remove {
		delete(next.Groups, name)
	}
	next.LastBinding = old.LastBinding
	if planned.Change != nil || removesTarget(old, next) {
		next.LastBinding = planned.Epoch
	}
	if planned.Change != nil {
		next.LastChange = planned.Epoch
		if planned.Change.Version > 0 {
			next.Version = planned.Change.Version
		}
		next.Changes = appendChange(old.Changes, planned.Change, planned.ResultsKept)
	}
	c.current = next
	if c.previous = append(c.previous, old); len(c.previous) > maxPreviousEpochs {
		c.previous = append([]*EpochState(nil), c.previous[len(c.previous)-maxPreviousEpochs:]...)
	}
	c.mu.Unlock()
	if c.OnCommit != nil {
		c.OnCommit(next, &planned)
	}
	return true
}

// appendChange adds a change set to those that are remembered. How many they may be
// stands in the entry, so that all members fold the same whatever their settings say.
func appendChange(old []rpc.ChangeResult, change *rpc.ChangeResult, limit int) []rpc.ChangeResult {
	if limit == 0 {
		limit = defaultChangeHistory
	}
	if len(old) >= limit {
		old = old[len(old)-limit+1:]
	}
	return append(slices.Clone(old), *change)
}

// AtEpoch is an epoch that was in force lately, or is; nil if it is not kept.
func (c *ConfigState) AtEpoch(epoch ids.Epoch) *EpochState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.current.Epoch == epoch {
		return c.current
	}
	for i := len(c.previous) - 1; i >= 0; i-- {
		if c.previous[i].Epoch == epoch {
			return c.previous[i]
		}
	}
	return nil
}

// GroupData is a group's data under a digest, of the epochs kept.
func (c *ConfigState) GroupData(name, digest string) (json.RawMessage, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i := len(c.previous) - 1; i >= 0; i-- {
		if group, ok := c.previous[i].Groups[name]; ok && group.Digest == digest {
			return group.Data, true
		}
	}
	return nil, false
}

// Current is the epoch in force, as far as this member knows.
func (c *ConfigState) Current() *EpochState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// Snapshot takes hold of the epoch in force, which is never written to.
func (c *ConfigState) Snapshot() func() (json.RawMessage, error) {
	s := c.Current()
	return func() (json.RawMessage, error) { return s.marshal() }
}

func (e *EpochState) marshal() (json.RawMessage, error) {
	return json.Marshal(rpc.ConfigurationState{Epoch: e.Epoch, ChangedEpoch: e.LastChange, Version: e.Version, Groups: e.Groups, Results: e.Changes})
}

func (c *ConfigState) Restore(raw json.RawMessage) error {
	var state rpc.ConfigurationState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	if state.Groups == nil {
		state.Groups = map[string]rpc.Group{}
	}
	c.mu.Lock()
	c.current = &EpochState{Epoch: state.Epoch, LastBinding: state.Epoch, LastChange: state.ChangedEpoch, Version: state.Version, Groups: state.Groups, Changes: state.Results}
	c.mu.Unlock()
	return nil
}
