package controlplane

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The replicas of the configuration shard are compared and repaired by ranges. Each group is
// one range. The header is another: the numbers of the epoch and the results of change sets.
const (
	groupRange  = "group/"
	headerRange = "head"
)

// header returns the stored form of the epoch without its groups.
func (e *EpochState) header() rpc.ConfigurationState {
	return rpc.ConfigurationState{Epoch: e.Epoch, ChangedEpoch: e.LastChange, Version: e.Version, Results: e.Changes}
}

// setHeader sets the epoch's header from its stored form. That doesn't record whether the
// epoch is binding (see binding.go), so the epoch counts as binding.
func (e *EpochState) setHeader(header *rpc.ConfigurationState) {
	e.Epoch, e.LastBinding = header.Epoch, header.Epoch
	e.LastChange, e.Version, e.Changes = header.ChangedEpoch, header.Version, header.Results
}

// RangeDigests returns the digest of each range. Digests of groups are recomputed from the
// data on each call, so that damage in memory is detected. A range that cannot be encoded
// has an empty digest.
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

// ExportRange returns the encoded content of one range: JSON null for a group that does not
// exist.
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

// Repair replaces the content of one range; JSON null removes a group. It discards the
// previous epochs, which may be damaged as well.
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
