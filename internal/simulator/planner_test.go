// An address that moves from one service to another takes two epochs: the first removes it from
// the old service, the second adds it to the new one. The second must follow at once, not after
// the next poll interval.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPlanner_ReleasedAddressIsReassignedPromptly(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.poll_interval"] = "2s"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		core := f.Cores()[0]
		hasTarget := func(service, instance string) bool {
			leader := leaderOf(f, ids.ConfigShard, nil)
			if leader == nil {
				return false
			}
			targets, err := leader.Node().ConfigState.Current().Targets(service)
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
			oldInstance, newInstance := fmt.Sprint("old", i), fmt.Sprint("new", i)
			isListed := false
			for seq := uint64(1); seq < 20 && !isListed; seq++ {
				heartbeat("bookings", oldInstance, seq)
				isListed = f.WaitUntil(200*time.Millisecond, func() bool { return hasTarget("bookings", oldInstance) })
			}
			if !isListed {
				t.Fatal("the old target was not listed")
			}
			var removed time.Time
			isListed = false
			for seq := uint64(1); seq < 40 && !isListed; seq++ {
				heartbeat("rates", newInstance, seq)
				isListed = f.WaitUntil(200*time.Millisecond, func() bool {
					if removed.IsZero() && !hasTarget("bookings", oldInstance) {
						removed = time.Now()
					}
					return hasTarget("rates", newInstance)
				})
			}
			if !isListed {
				t.Fatal("the new target was not listed")
			}
			if gap := time.Since(removed); gap > 500*time.Millisecond {
				t.Errorf("round %d: no service had the address for %v", i, gap)
			}
			time.Sleep(3 * time.Second)
		}
	})
}
