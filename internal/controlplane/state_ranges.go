package controlplane

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// For repair the state is cut into ranges: each group is one, and the numbers of the epoch
// with the results of the change sets, its header, are another.
const (
	groupRange  = "group/"
	headerRange = "head"
)

// header is the epoch without its groups, as it is stored.
func (e *EpochState) header() rpc.ConfigurationState {
	return rpc.ConfigurationState{Epoch: e.Epoch, ChangedEpoch: e.LastChange, Version: e.Version, Results: e.Changes}
}

// setHeader takes over a stored header. Whether its epoch binds is not stored, so it is
// taken to do so.
func (e *EpochState) setHeader(header *rpc.ConfigurationState) {
	e.Epoch, e.LastBinding = header.Epoch, header.Epoch
	e.LastChange, e.Version, e.Changes = header.ChangedEpoch, header.Version, header.Results
}

// RangeDigests is a digest of each range. A group's is computed from its data each time, so that
// damage in memory shows; a range that cannot be encoded has an empty one.
func (c *ConfigState) RangeDigests() map[string]string {
	epoch := c.Current()
	digests := map[string]string{headerRange: digestRange(epoch.header())}
	for name, group := range epoch.Groups {
		digests[groupRange+name] = digestRange(group)
	}
	return digests
}

func digestRange(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return Digest(data)
}

// ExportRange is the content of one range; that of a group which does not exist is null.
func (c *ConfigState) ExportRange(name string) (json.RawMessage, error) {
	epoch := c.Current()
	if name, ok := strings.CutPrefix(name, groupRange); ok {
		if group, ok := epoch.Groups[name]; ok {
			return json.Marshal(group)
		}
		return json.RawMessage("null"), nil
	}
	return json.Marshal(epoch.header())
}

// Repair replaces the content of one range; null removes a group. The previous epochs are
// forgotten, for they may be damaged as well.
func (c *ConfigState) Repair(name string, data json.RawMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	repaired := &EpochState{Groups: maps.Clone(c.current.Groups)}
	header := c.current.header()
	if name, ok := strings.CutPrefix(name, groupRange); ok {
		var group *rpc.Group
		if err := json.Unmarshal(data, &group); err != nil {
			return err
		}
		if group == nil {
			delete(repaired.Groups, name)
		} else {
			repaired.Groups[name] = *group
		}
	} else {
		header = rpc.ConfigurationState{}
		if err := json.Unmarshal(data, &header); err != nil {
			return err
		}
	}
	repaired.setHeader(&header)
	c.current, c.previous = repaired, nil
	return nil
}
