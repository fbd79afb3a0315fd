// A spare core node replaces a permanently lost one as a voter of every shard, and no acknowledged
// write is lost.

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
	shape := singleProxyShape()
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
				isComplete := false
				for _, m := range f.Cores() {
					if m.Node() == nil || !m.Node().Consensus.Replica(ids.Shard(shard)).IsServing() {
						continue
					}
					status := m.Node().Consensus.Replica(ids.Shard(shard)).Status()
					isComplete = len(status.Voters) == 3 && status.LastIndex == status.CommitIndex
					for _, peer := range status.Voters {
						isComplete = isComplete && peer.Name != "core1"
					}
				}
				if !isComplete {
					return false
				}
			}
			return true
		}
		if !f.WaitUntil(30*time.Second, isReplaced) {
			t.Fatal("the spare did not replace the lost node in every shard")
		}
		f.Machine("core2").Kill(true)
		if !f.WaitUntil(15*time.Second, func() bool {
			got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
			return err == nil && string(got.Value) == `"kept"`
		}) {
			t.Error("an acknowledged write is missing after the replacement")
		}
	})
}
