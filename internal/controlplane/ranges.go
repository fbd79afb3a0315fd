// The ledger's state cut into ranges: each group is one, and the change sets
// with the epoch's numbers are another.
package controlplane

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	groupRange  = "group/"
	headerRange = "head"
)

func (c *ConfigState) header(s *EpochState) rpc.ConfigurationState {
	return rpc.ConfigurationState{Epoch: s.Epoch, ChangedEpoch: s.LastChange, Version: s.Version, Results: s.Changes}
}

// RangeDigests is one digest for each range. A group's is made of its data anew.
func (c *ConfigState) RangeDigests() map[string]string {
	s := c.Current()
	raw, _ := json.Marshal(c.header(s))
	digests := map[string]string{headerRange: Digest(raw)}
	for name, group := range s.Groups {
		raw, _ := json.Marshal(group)
		digests[groupRange+name] = Digest(raw)
	}
	return digests
}

// ExportRange is one range as it is.
func (c *ConfigState) ExportRange(name string) (json.RawMessage, error) {
	s := c.Current()
	if group, ok := strings.CutPrefix(name, groupRange); ok {
		if g, ok := s.Groups[group]; ok {
			return json.Marshal(g)
		}
		return json.RawMessage("null"), nil
	}
	return json.Marshal(c.header(s))
}

// Repair replaces one range; a group that is no longer there is taken out.
func (c *ConfigState) Repair(name string, data json.RawMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current
	next := &EpochState{Epoch: old.Epoch, LastChange: old.LastChange, Version: old.Version, Groups: maps.Clone(old.Groups), Changes: old.Changes}
	if group, ok := strings.CutPrefix(name, groupRange); ok {
		var g *rpc.Group
		if err := json.Unmarshal(data, &g); err != nil {
			return err
		}
		if g == nil {
			delete(next.Groups, group)
		} else {
			next.Groups[group] = *g
		}
	} else {
		var head rpc.ConfigurationState
		if err := json.Unmarshal(data, &head); err != nil {
			return err
		}
		next.Epoch, next.LastChange, next.Version, next.Changes = head.Epoch, head.ChangedEpoch, head.Version, head.Results
	}
	next.LastBinding = next.Epoch
	c.current, c.previous = next, nil
	return nil
}
