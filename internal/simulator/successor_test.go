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

// replaceForGood takes a core node's power for good, and starts an empty one elsewhere after a
// delay.
func (f *Fleet) replaceForGood(lost *Machine, successor string, delay time.Duration) {
	lost.Kill(true)
	lost.IsRemoved = true
	f.Network.Disk(lost.IP).Wipe()
	time.Sleep(delay)
	f.startMachine(f.Add(successor, 0, true, false))
}

// shardsNaming counts the shards that a machine's loss still weakens: its leader has it among
// the voters, a change of them is not committed, or nobody leads.
func (f *Fleet) shardsNaming(lost *Machine) (count int) {
	for shard := range ids.ShardCount + 1 {
		leader := f.leader(ids.Shard(shard))
		if leader == nil {
			count++
			continue
		}
		status := leader.status(ids.Shard(shard))
		isSettled := len(status.OutgoingVoters) == 0 && status.CommitIndex == status.LastIndex
		if !isSettled || isIn(lost, f.votersOf(leader, ids.Shard(shard))) {
			count++
		}
	}
	return count
}

func TestMembershipChange_SuccessorVotesWithinCatchUp(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("started ", delay, " after the loss"), func(t *testing.T) {
			inFleet(t, usersCore(), func(t *testing.T, f *Fleet) { replaceAllCores(t, f, delay) })
		})
	}
}

// replaceAllCores replaces one core node after the other, each as soon as the last successor
// has had catchUp, and reads what was acknowledged before.
func replaceAllCores(t *testing.T, f *Fleet, delay time.Duration) {
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
	if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"kept"`)}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	for i, name := range []string{"core1", "core2", "core3"} {
		lost := f.Machine(name)
		f.replaceForGood(lost, fmt.Sprint("core", i+4), delay)
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
}

// TestBootstrap_NewcomerTellsTheCoreAtOnce: that a newcomer has joined the cluster is known to
// every core node long before somebody happens to probe it.
func TestBootstrap_NewcomerTellsTheCoreAtOnce(t *testing.T) {
	inFleet(t, usersCore(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		newcomer := f.Add("core4", 0, true, false)
		f.startMachine(newcomer)
		if !f.WaitUntil(time.Second, func() bool { return newcomer.Node().Consensus.Charter() != nil }) {
			t.Fatal("the newcomer has not joined")
		}
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.Cores()[:3] {
			if m.Node().Members.View()["core4"].Fleet == "" {
				t.Errorf("%s does not know that the newcomer has joined", m.Name)
			}
		}
	})
}

// TestMembershipChange_CoreThatStoodStillReplacesNobody: when the whole core stands still for
// longer than a voter may be silent, nobody counts that against another.
func TestMembershipChange_CoreThatStoodStillReplacesNobody(t *testing.T) {
	shape := fiveCores()
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		before := map[ids.Shard]string{}
		for shard := range ids.ShardCount + 1 {
			before[ids.Shard(shard)] = fmt.Sprint(f.leader(ids.Shard(shard)).status(ids.Shard(shard)).Voters)
		}
		for _, m := range f.Cores() {
			f.Network.Pause(m.IP)
		}
		time.Sleep(4 * time.Second)
		for _, m := range f.Cores() {
			f.Network.Unpause(m.IP)
		}
		time.Sleep(5 * time.Second)
		for shard, voters := range before {
			leader := f.leader(shard)
			if leader == nil {
				t.Errorf("nobody leads shard %d", shard)
			} else if now := fmt.Sprint(leader.status(shard).Voters); now != voters {
				t.Errorf("shard %d has the voters %s, not %s", shard, now, voters)
			}
		}
	})
}

// TestNode_StopWaitsForSilentVoter: a core node that is told to go while another has just lost
// its power is needed for a majority, although the member list still holds that one for alive.
func TestNode_StopWaitsForSilentVoter(t *testing.T) {
	inFleet(t, usersCore(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		f.Machine("core1").Kill(true)
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			f.Machine("core2").Stop()
			close(stopped)
		}()
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("core3").APIAddress())
		time.Sleep(1200 * time.Millisecond)
		if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)}); err != nil {
			t.Errorf("no write while two of three run, one of them on its way out: %v", err)
		}
		f.startMachine(f.Machine("core1"))
		<-stopped
	})
}
