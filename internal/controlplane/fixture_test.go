package controlplane

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// epochWith returns an epoch that has only the given target lists.
func epochWith(t *testing.T, targets map[string][]rpc.Target) *EpochState {
	t.Helper()
	epoch := &EpochState{Epoch: 1, Groups: map[string]rpc.Group{}}
	for service, list := range targets {
		data, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		epoch.Groups[TargetsPrefix+service] = rpc.Group{Digest: Digest(data), Data: data}
	}
	return epoch
}

// apply applies a log entry and returns the resulting epoch.
func apply(t *testing.T, c *ConfigState, planned *rpc.EpochEntry) *EpochState {
	t.Helper()
	body, err := json.Marshal(planned)
	if err != nil {
		t.Fatal(err)
	}
	if result := c.Apply(ids.Index(planned.Epoch), body); result != nil {
		t.Fatalf("epoch %d: %v", planned.Epoch, result)
	}
	return c.Current()
}

// snapshot returns an encoded snapshot of the state.
func snapshot(t *testing.T, c *ConfigState) json.RawMessage {
	t.Helper()
	raw, err := c.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// restored returns a new state restored from a snapshot.
func restored(t *testing.T, raw json.RawMessage) *ConfigState {
	t.Helper()
	c := NewConfigState()
	if err := c.Restore(raw); err != nil {
		t.Fatal(err)
	}
	return c
}

// commit merges a change set into the current configuration and applies the resulting epoch.
func commit(t *testing.T, c *ConfigState, change *rpc.ChangeSet) *EpochState {
	t.Helper()
	epoch := c.Current()
	current, err := epoch.Config()
	if err != nil {
		t.Fatal(err)
	}
	config, faults := MergeChange(current, change)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	groups, err := encodeGroups(config)
	if err != nil {
		t.Fatal(err)
	}
	planned := &rpc.EpochEntry{Epoch: epoch.Epoch + 1, Put: map[string]json.RawMessage{}, Change: &rpc.ChangeResult{ID: change.ID, Epoch: epoch.Epoch + 1, Version: change.Version}}
	diffGroups(planned, epoch, groups)
	return apply(t, c, planned)
}

// newEnvironment returns the environment of a node without network and disk.
func newEnvironment(t *testing.T) *environment.Environment {
	t.Helper()
	settings := &config.Settings{Name: "n", ControlplaneHeartbeatTimeout: time.Hour}
	return environment.New(t.Context(), settings, eventlog.New(io.Discard, "info", "n"), environment.Host{})
}

// newRegistry returns the registry of a node that leads no shard.
func newRegistry(t *testing.T, onChange func()) *TargetRegistry {
	t.Helper()
	var stores []*coordination.Store
	for range ids.ShardCount {
		stores = append(stores, coordination.NewStore())
	}
	return NewTargetRegistry(RegistryConfig{Env: newEnvironment(t), Stores: stores, State: NewConfigState(), OnChange: onChange})
}

// addTarget records a heartbeat in the registry's current term and returns its target.
func (r *TargetRegistry) addTarget(heartbeat rpc.TargetHeartbeat) *targetRecord {
	shard := ids.ShardOf(heartbeat.Service)
	r.record(shard, r.shards[shard].term, &heartbeat, false)
	return r.shards[shard].services[heartbeat.Service][heartbeat.Instance]
}

// addDeparture applies the log entry of a target's departure.
func addDeparture(t *testing.T, r *TargetRegistry, service, instance, state string) {
	t.Helper()
	body, err := json.Marshal(newDepartureEntry(&rpc.TargetHeartbeat{Service: service, Instance: instance, State: state, Sequence: 1}))
	if err != nil {
		t.Fatal(err)
	}
	r.stores[ids.ShardOf(service)].Apply(1, body)
}
