// A deposed leader that has not yet learned of the new term.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Guards against a deposed leader that acknowledges a drain because it has recorded an earlier one.
func TestDrain_DeposedLeaderAcknowledgesNothing(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		shard := ids.ShardOf("rates")
		deposed, target := leaderOf(f, shard, nil), f.Targets("rates")[0]
		heartbeat := func(m *Machine, sequence uint64, state string) error {
			_, err := m.Node().Heartbeat(f.ctx, &rpc.TargetHeartbeat{Service: "rates", Instance: target.Instance, Sequence: sequence, Address: target.Address, Zone: "zone1", Weight: 100, State: state})
			return err
		}
		if err := heartbeat(deposed, 1<<30, "draining"); err != nil {
			t.Fatal(err)
		}
		f.isolate([]*Machine{deposed})
		defer f.Network.Heal()
		var newLeader *Machine
		for newLeader == nil {
			time.Sleep(5 * time.Millisecond)
			newLeader = leaderOf(f, shard, deposed)
		}
		if err := heartbeat(newLeader, 1<<30+1, "serving"); err != nil {
			t.Fatal(err)
		}
		isServing := deposed.Node().Consensus.Replica(shard).IsServing()
		if err := heartbeat(deposed, 1<<30+2, "draining"); err == nil {
			t.Errorf("the deposed leader acknowledged the drain; IsServing: %v", isServing)
		} else {
			t.Logf("IsServing: %v; %v", isServing, err)
		}
	})
}
