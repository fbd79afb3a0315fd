// An address that passes from one service to another is in two epochs: the first lets it
// go, the second gives it. Nothing but the making of an epoch may lie between them.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPlanner_ReleasedAddressSoonGetsItsNewTarget(t *testing.T) {
	shape := one()
	shape.Settings["controlplane.poll_interval"] = "2s"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		core := f.Cores()[0]
		holds := func(service, instance string) bool {
			owner := leaderOf(f, ids.ConfigShard, nil)
			if owner == nil {
				return false
			}
			targets, err := owner.Node().ConfigState.Current().Targets(service)
			if err != nil {
				t.Error(err)
			}
			for _, target := range targets {
				if target.Instance == instance {
					return true
				}
			}
			return false
		}
		for i := range 4 {
			address := fmt.Sprintf("10.77.0.%d:8080", i+1)
			heartbeat := func(service, instance string, seq uint64) {
				_, err := core.Node().Heartbeat(f.ctx, &rpc.TargetHeartbeat{Service: service, Instance: instance, Sequence: seq, Address: address, Zone: "zone1", Weight: 100, State: "serving"})
				if err != nil {
					t.Fatal(err)
				}
			}
			old, young := fmt.Sprint("old", i), fmt.Sprint("young", i)
			isIn := false
			for seq := uint64(1); seq < 20 && !isIn; seq++ {
				heartbeat("bookings", old, seq)
				isIn = f.WaitUntil(200*time.Millisecond, func() bool { return holds("bookings", old) })
			}
			if !isIn {
				t.Fatal("the old target did not come in")
			}
			var removed time.Time
			isIn = false
			for seq := uint64(1); seq < 40 && !isIn; seq++ {
				heartbeat("rates", young, seq)
				isIn = f.WaitUntil(200*time.Millisecond, func() bool {
					if removed.IsZero() && !holds("bookings", old) {
						removed = time.Now()
					}
					return holds("rates", young)
				})
			}
			if !isIn {
				t.Fatal("the young target did not come in")
			}
			if late := time.Since(removed); late > 500*time.Millisecond {
				t.Errorf("round %d: the address was free for %v", i, late)
			}
			time.Sleep(3 * time.Second)
		}
	})
}
