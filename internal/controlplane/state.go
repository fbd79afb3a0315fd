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

// maxPreviousEpochs is how many epochs before the current one are kept. A proxy that has one
// of them is sent only the difference.
const maxPreviousEpochs = 64

// ConfigState is the state machine of the configuration shard: the current epoch, including
// the results of accepted change sets, and the epochs before it.
type ConfigState struct {
	// OnCommit is called after each applied epoch, in order. OnDamage is called with a
	// *DamagedEntryError or a *DamagedGroupError, once per entry and once per version of a
	// group. Both are optional and must be set before the first entry is applied.
	OnCommit func(*EpochState, *rpc.EpochEntry)
	OnDamage func(error)

	mu       sync.RWMutex // guards current and previous
	current  *EpochState
	previous []*EpochState // epochs before the current one, oldest first

	damageMu sync.Mutex      // guards damaged
	damaged  map[string]bool // versions of groups already reported as damaged
}

// NewConfigState returns the state before the first epoch.
func NewConfigState() *ConfigState {
	return &ConfigState{current: &EpochState{Groups: map[string]rpc.Group{}}, damaged: map[string]bool{}}
}

// Apply applies the log entry at an index, an encoded rpc.EpochEntry. It returns nil, or the
// reason why the entry was skipped: ErrEpochOutOfOrder or a *DamagedEntryError.
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

// Current returns the newest epoch that this member has applied.
func (c *ConfigState) Current() *EpochState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// AtEpoch returns the current epoch or one of the previous epochs by its number, or nil if
// that epoch is not kept.
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

// previousGroup returns the version of a group that has the given digest, if one of the
// previous epochs has it.
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

// Snapshot captures the current epoch and returns a function that encodes it. The function
// may run while further entries are applied.
func (c *ConfigState) Snapshot() func() (json.RawMessage, error) {
	epoch := c.Current()
	return func() (json.RawMessage, error) {
		state := epoch.header()
		state.Groups = epoch.Groups
		return json.Marshal(state)
	}
}

// Restore replaces the current epoch with that of a snapshot. A snapshot doesn't record
// whether its epoch is binding (see binding.go), so the epoch counts as binding.
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

// reportDamage calls OnDamage if err is a *DamagedEntryError, or a *DamagedGroupError for a
// version of a group that was not reported before.
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

// next returns the epoch that results from applying an entry to this epoch. If a target list
// is damaged it returns both the epoch and a *DamagedGroupError: the epoch is committed and
// must be applied, and counts as binding because the removed targets are unknown.
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
