// A leader that was deposed and has not heard of it.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Guards against a drain that a deposed leader acknowledges because it knows an earlier one.
func TestDrain_DeposedLeaderAcknowledgesNothing(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		shard := ids.ShardOf("rates")
		deposed, server := leaderOf(f, shard, nil), f.Targets("rates")[0]
		say := func(m *Machine, sequence uint64, state string) error {
			_, err := m.Node().Heartbeat(f.ctx, &rpc.TargetHeartbeat{Service: "rates", Instance: server.Instance, Sequence: sequence, Address: server.Address, Zone: "zone1", Weight: 100, State: state})
			return err
		}
		if err := say(deposed, 1<<30, "draining"); err != nil {
			t.Fatal(err)
		}
		f.isolate([]*Machine{deposed})
		defer f.Network.Heal()
		var next *Machine
		for next == nil {
			time.Sleep(5 * time.Millisecond)
			next = leaderOf(f, shard, deposed)
		}
		if err := say(next, 1<<30+1, "serving"); err != nil {
			t.Fatal(err)
		}
		isServing := deposed.Node().Consensus.Replica(shard).IsServing()
		if err := say(deposed, 1<<30+2, "draining"); err == nil {
			t.Errorf("acknowledged by the deposed leader, which holds itself for leader: %v", isServing)
		} else {
			t.Logf("holds itself for leader: %v; %v", isServing, err)
		}
	})
}
