// A machine that is suspended stops its monotonic clock. What it held for fresh
// when it went to sleep must not count as fresh when it wakes.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestProxy_SuspendedProxyWakesWithoutFreshConfiguration(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer caller.Close()
		for range 5 {
			if got := caller.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil); got.Outcome != "ran" {
				t.Fatalf("before: %+v", got)
			}
			for _, m := range f.Machines {
				if m != proxyNode {
					f.Network.Partition(m.IP, proxyNode.IP)
				}
			}
			f.Network.Suspend(proxyNode.IP, time.Minute)
			got := caller.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil)
			f.Network.Heal()
			if got.Code != errcode.NotFresh.Number || got.Outcome != "not run" {
				t.Errorf("after: %+v", got)
			}
			if !f.WaitUntil(5*time.Second, func() bool {
				return caller.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil).Outcome == "ran"
			}) {
				t.Error("the proxy did not come back")
			}
		}
	})
}

// An owner that was suspended vouches for nothing until a majority has spoken anew.
func TestReplica_SuspendedLeaderConfirmsNothing(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		var owner *Machine
		for range 5 {
			if !f.WaitUntil(10*time.Second, func() bool {
				owner = leaderOf(f, ids.ConfigShard, nil)
				if owner == nil || !f.IsUsable() {
					return false
				}
				pulse, err := owner.Node().Planner.Freshness()
				return err == nil && pulse.AgeMicros < time.Second.Microseconds()
			}) {
				t.Fatal("the fleet did not come back")
			}
			f.Network.Suspend(owner.IP, time.Minute)
			pulse, err := owner.Node().Planner.Freshness()
			if err == nil && pulse.AgeMicros < time.Minute.Microseconds() {
				t.Errorf("it tells an age of %d us", pulse.AgeMicros)
			}
		}
	})
}
