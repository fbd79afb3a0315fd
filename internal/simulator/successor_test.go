// Core nodes that are gone for good and replaced by empty ones one after another, each as soon
// as the last successor has had the time that the users give it.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// successorDelay is between a core node's loss and the start of its successor.
const successorDelay = time.Second

// usersCore is a core of three with the settings that the users' platform gives, beside as many
// proxies as make the member list slow to tell a loss.
func usersCore() Shape {
	shape := one()
	shape.Proxies = 12
	shape.Settings["consensus.replacement_delay"] = "2s"
	shape.Settings["membership.probe_interval"] = "500ms"
	shape.Settings["membership.probe_timeout"] = "400ms"
	shape.Settings["membership.suspicion_timeout"] = "2s"
	return shape
}

// replaceForGood takes a core node's power for good and starts an empty one elsewhere.
func (f *Fleet) replaceForGood(lost *Machine, successor string) {
	lost.Kill(true)
	f.Network.Disk(lost.IP).Wipe()
	time.Sleep(successorDelay)
	f.startMachine(f.Add(successor, 0, true, false))
}

// shardsNaming counts the shards whose leader still has a machine among the voters, and those
// that nobody leads.
func (f *Fleet) shardsNaming(lost *Machine) (count int) {
	for shard := range ids.ShardCount + 1 {
		leader := f.leader(ids.Shard(shard))
		if leader == nil || isIn(lost, f.votersOf(leader, ids.Shard(shard))) {
			count++
		}
	}
	return count
}

func TestMembershipChange_SuccessorVotesWithinCatchUp(t *testing.T) {
	inFleet(t, usersCore(), func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"kept"`)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		for i, name := range []string{"core1", "core2", "core3"} {
			lost := f.Machine(name)
			f.replaceForGood(lost, fmt.Sprint("core", i+4))
			began := time.Now()
			if !f.WaitUntil(catchUp, func() bool { return f.shardsNaming(lost) == 0 }) {
				t.Fatalf("%d shards of %d do without a successor of %s %s after its start", f.shardsNaming(lost), ids.ShardCount+1, name, catchUp)
			}
			t.Logf("%s is replaced %s after its successor's start", name, time.Since(began))
		}
		got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
		if err != nil || string(got.Value) != `"kept"` {
			t.Errorf("read %v, %v: what was acknowledged is not with the successors", got, err)
		}
	})
}
