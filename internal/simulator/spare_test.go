// A core node that is lost for good gives its places to a spare one, and
// nothing that was acknowledged is lost.

package simulator

import (
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestMembershipChange_SpareReplacesLostNode(t *testing.T) {
	shape := one()
	shape.Settings["consensus.replacement_delay"] = "3s"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		spare := f.Add("core4", 0, true, false)
		f.startMachine(spare)
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"kept"`)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		lost := f.Machine("core1")
		lost.Kill(true)
		f.Network.Disk(lost.IP).Wipe()
		isReplaced := func() bool {
			for shard := range ids.ShardCount + 1 {
				complete := false
				for _, m := range f.Cores() {
					if m.Node() == nil || !m.Node().Consensus.Replica(ids.Shard(shard)).IsServing() {
						continue
					}
					o := m.Node().Consensus.Replica(ids.Shard(shard)).Status()
					complete = len(o.Voters) == 3 && o.LastIndex == o.CommitIndex
					for _, peer := range o.Voters {
						complete = complete && peer.Name != "core1"
					}
				}
				if !complete {
					return false
				}
			}
			return true
		}
		if !f.WaitUntil(30*time.Second, isReplaced) {
			t.Fatal("the spare did not take the places")
		}
		f.Machine("core2").Kill(true)
		if !f.WaitUntil(15*time.Second, func() bool {
			got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
			return err == nil && string(got.Value) == `"kept"`
		}) {
			t.Error("what was acknowledged is not there with the spare")
		}
	})
}
