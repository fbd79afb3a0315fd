package controlplane

import (
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// maxPreviousEpochs is how many epochs before the one in force are kept, so that a proxy
// that has one of them is sent only what changed since.
const maxPreviousEpochs = 64

// ConfigState is the state machine of the configuration shard: the epoch in force, with the
// results of the change sets that were accepted. All members of the shard apply the same
// entries and so hold the same epochs.
type ConfigState struct {
	// OnCommit is called after each epoch that was applied, in their order. OnDamage is
	// called with a *DamagedEntryError or a *DamagedGroupError, once for each entry and for
	// each version of a group. Both may be nil and are set before the first entry.
	OnCommit func(*EpochState, *rpc.EpochEntry)
	OnDamage func(error)

	mu       sync.RWMutex // guards current and previous
	current  *EpochState
	previous []*EpochState // the epochs before, oldest first

	damageMu sync.Mutex      // guards damaged
	damaged  map[string]bool // versions of groups already reported as damaged
}

// NewConfigState makes the state before the first epoch.
func NewConfigState() *ConfigState {
	return &ConfigState{current: &EpochState{Groups: map[string]rpc.Group{}}, damaged: map[string]bool{}}
}

// Apply applies the entry at an index: one epoch, an encoded rpc.EpochEntry. The result is
// nil, or the error for which the entry was skipped: ErrEpochOutOfOrder or a
// *DamagedEntryError.
func (c *ConfigState) Apply(index ids.Index, body json.RawMessage) any {
	var planned rpc.EpochEntry
	if err := json.Unmarshal(body, &planned); err != nil {
		damage := &DamagedEntryError{Index: index, Err: err}
		c.reportDamage(damage)
		return damage
	}
	c.mu.Lock()
	previous := c.current
	if planned.Epoch != previous.Epoch+1 {
		c.mu.Unlock()
		return ErrEpochOutOfOrder
	}
	next, err := previous.next(&planned)
	c.current = next
	if c.previous = append(c.previous, previous); len(c.previous) > maxPreviousEpochs {
		c.previous = append([]*EpochState(nil), c.previous[len(c.previous)-maxPreviousEpochs:]...)
	}
	c.mu.Unlock()
	c.reportDamage(err)
	if c.OnCommit != nil {
		c.OnCommit(next, &planned)
	}
	return nil
}

// Current is the epoch in force, as far as this member knows.
func (c *ConfigState) Current() *EpochState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// AtEpoch is an epoch that is in force or was so lately; nil if it is not kept.
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

// previousGroup is a group as it was under a digest in one of the previous epochs.
func (c *ConfigState) previousGroup(name, digest string) (rpc.Group, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i := len(c.previous) - 1; i >= 0; i-- {
		if group, ok := c.previous[i].Groups[name]; ok && group.Digest == digest {
			return group, true
		}
	}
	return rpc.Group{}, false
}

// Snapshot takes hold of the epoch in force, to be encoded for a snapshot while further
// entries are applied.
func (c *ConfigState) Snapshot() func() (json.RawMessage, error) {
	epoch := c.Current()
	return func() (json.RawMessage, error) {
		state := epoch.header()
		state.Groups = epoch.Groups
		return json.Marshal(state)
	}
}

// Restore replaces the state by that of a snapshot. Whether the epoch binds is not in it, so
// it is taken to do so.
func (c *ConfigState) Restore(raw json.RawMessage) error {
	var state rpc.ConfigurationState
	if err := json.Unmarshal(raw, &state); err != nil {
		return err
	}
	if state.Groups == nil {
		state.Groups = map[string]rpc.Group{}
	}
	epoch := &EpochState{Groups: state.Groups}
	epoch.setHeader(&state)
	c.mu.Lock()
	c.current = epoch
	c.mu.Unlock()
	return nil
}

// reportDamage hands the damage in an error, if there is any, to OnDamage.
func (c *ConfigState) reportDamage(err error) {
	var entry *DamagedEntryError
	var group *DamagedGroupError
	switch {
	case errors.As(err, &entry):
	case errors.As(err, &group):
		version := group.Group + " " + group.Digest
		c.damageMu.Lock()
		isReported := c.damaged[version]
		c.damaged[version] = true
		c.damageMu.Unlock()
		if isReported {
			return
		}
	default:
		return
	}
	if c.OnDamage != nil {
		c.OnDamage(err)
	}
}

// next is the epoch that follows this one. Damage in the target lists is reported beside
// it: the epoch was committed and holds all the same, and is then taken to bind.
func (e *EpochState) next(planned *rpc.EpochEntry) (*EpochState, error) {
	next := &EpochState{
		Epoch: planned.Epoch, LastBinding: e.LastBinding, LastChange: e.LastChange, Version: e.Version,
		Groups: maps.Clone(e.Groups), Changes: e.Changes, appliedAt: time.Now(),
	}
	for name, data := range planned.Put {
		next.Groups[name] = rpc.Group{Digest: Digest(data), Index: ids.Index(planned.Epoch), Data: data}
	}
	for _, name := range planned.Remove {
		delete(next.Groups, name)
	}
	if change := planned.Change; change != nil {
		next.LastBinding, next.LastChange = planned.Epoch, planned.Epoch
		if change.Version > 0 {
			next.Version = change.Version
		}
		next.Changes = appendChange(e.Changes, change, planned.ResultsKept)
		return next, nil
	}
	removes, err := removesTarget(e, next)
	if removes || err != nil {
		next.LastBinding = planned.Epoch
	}
	return next, err
}
