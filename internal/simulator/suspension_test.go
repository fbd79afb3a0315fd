// The monotonic clock of a suspended machine stops. What was fresh before the suspension must not
// count as fresh after it.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestProxy_SuspendedProxyWakesWithoutFreshConfiguration(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		client := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer client.Close()
		for range 5 {
			if got := client.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil); got.Outcome != "ran" {
				t.Fatalf("before the suspension: %+v", got)
			}
			for _, m := range f.Machines {
				if m != proxyNode {
					f.Network.Partition(m.IP, proxyNode.IP)
				}
			}
			f.Network.Suspend(proxyNode.IP, time.Minute)
			record := client.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil)
			f.Network.Heal()
			if record.Code != errcode.NotFresh.Number || record.Outcome != "not run" {
				t.Errorf("after the suspension: %+v", record)
			}
			if !f.WaitUntil(5*time.Second, func() bool {
				return client.Call(f.ctx, proxyNode.ProxyAddress(), "GET", "/rates", "rates", nil).Outcome == "ran"
			}) {
				t.Error("the proxy did not serve again")
			}
		}
	})
}

// After a suspension a leader confirms no freshness until a majority has responded again.
func TestReplica_SuspendedLeaderConfirmsNoFreshness(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		var leader *Machine
		for range 5 {
			if !f.WaitUntil(10*time.Second, func() bool {
				leader = leaderOf(f, ids.ConfigShard, nil)
				if leader == nil || !f.IsUsable() {
					return false
				}
				freshness, err := leader.Node().Planner.Freshness()
				return err == nil && freshness.AgeMicros < time.Second.Microseconds()
			}) {
				t.Fatal("the fleet did not recover")
			}
			f.Network.Suspend(leader.IP, time.Minute)
			freshness, err := leader.Node().Planner.Freshness()
			if err == nil && freshness.AgeMicros < time.Minute.Microseconds() {
				t.Errorf("the suspended leader reports an age of %d us", freshness.AgeMicros)
			}
		}
	})
}
