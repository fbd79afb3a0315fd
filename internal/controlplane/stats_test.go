package controlplane

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestTargetRegistry_CountsAndRowsShowRotationAndState(t *testing.T) {
	r := newRegistry(t, nil)
	r.addTarget(rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", Zone: "z", Weight: 7, State: StateServing})
	r.addTarget(rpc.TargetHeartbeat{Service: "s", Instance: "b", Address: "B", State: StateDraining})
	r.listTargets(ids.ShardOf("s"), ids.Term{}, false)
	counts := r.TargetCounts()
	if len(counts) != 2 || counts[TargetStatus{"s", "in", StateServing}] != 1 || counts[TargetStatus{"s", "out", StateDraining}] != 1 {
		t.Errorf("%+v", counts)
	}
	states := map[string]string{}
	for _, row := range r.Rows() {
		states[row.Instance] = row.State
		if row.Instance == "a" && (row.Service != "s" || row.Address != "A" || row.Zone != "z" || row.Weight != 7) {
			t.Errorf("%+v", row)
		}
	}
	if len(states) != 2 || states["a"] != "in (serving)" || states["b"] != "out (draining)" {
		t.Error(states)
	}
}
