// Core nodes that are permanently lost and replaced by empty ones, one after another, each as soon
// as the previous successor has had maxRecoveryTime to become a voter.

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

// platformCoreShape is a core of three with the settings of the users' platform. It has so many
// proxies that the member list is slow to detect a failure.
func platformCoreShape() Shape {
	shape := singleProxyShape()
	shape.Proxies = 12
	shape.Settings["consensus.replacement_delay"] = "2s"
	shape.Settings["membership.probe_interval"] = "500ms"
	shape.Settings["membership.probe_timeout"] = "400ms"
	shape.Settings["membership.suspicion_timeout"] = "2s"
	return shape
}

// replaceCore cuts the power of a core node permanently and wipes its disk, and after a delay starts
// an empty core node with another name and address.
func (f *Fleet) replaceCore(lost *Machine, successor string, delay time.Duration) {
	lost.Kill(true)
	lost.IsRemoved = true
	f.Network.Disk(lost.IP).Wipe()
	time.Sleep(delay)
	f.startMachine(f.Add(successor, 0, true, false))
}

// countUnsettledShards counts the shards that have no leader, have an uncommitted membership change,
// or still have the lost machine as a voter.
func (f *Fleet) countUnsettledShards(lost *Machine) (count int) {
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

func TestMembershipChange_SuccessorBecomesVoterInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("started ", delay, " after the loss"), func(t *testing.T) {
			inFleet(t, platformCoreShape(), func(t *testing.T, f *Fleet) { replaceAllCores(t, f, delay) })
		})
	}
}

// replaceAllCores replaces the core nodes one after another, each as soon as the previous successor
// has become a voter within maxRecoveryTime, and checks that an acknowledged write is kept.
func replaceAllCores(t *testing.T, f *Fleet, delay time.Duration) {
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
	if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"kept"`)}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	for i, name := range []string{"core1", "core2", "core3"} {
		lost := f.Machine(name)
		f.replaceCore(lost, fmt.Sprint("core", i+4), delay)
		start := time.Now()
		if !f.WaitUntil(maxRecoveryTime, func() bool { return f.countUnsettledShards(lost) == 0 }) {
			t.Fatalf("%d of %d shards have not replaced %s by its successor %s after the start", f.countUnsettledShards(lost), ids.ShardCount+1, name, maxRecoveryTime)
		}
		t.Logf("%s was replaced %s after its successor's start", name, time.Since(start))
	}
	got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
	if err != nil || string(got.Value) != `"kept"` {
		t.Errorf("read %v, %v: the acknowledged write is missing on the successors", got, err)
	}
}

// A new node announces to every core node that it has joined the cluster, so that they know it
// before their next probe of that node.
func TestBootstrap_JoinIsKnownToCorePromptly(t *testing.T) {
	inFleet(t, platformCoreShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		joined := f.Add("core4", 0, true, false)
		f.startMachine(joined)
		if !f.WaitUntil(time.Second, func() bool { return joined.Node().Consensus.Charter() != nil }) {
			t.Fatal("the new node has not joined")
		}
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.Cores()[:3] {
			if m.Node().Members.View()["core4"].ClusterID == "" {
				t.Errorf("%s does not know that the new node has joined", m.Name)
			}
		}
	})
}

// When the whole core is paused for longer than the replacement delay, no node counts that time as
// the absence of another.
func TestMembershipChange_PausedCoreReplacesNoVoter(t *testing.T) {
	shape := fastReplacementShape()
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
				t.Errorf("shard %d has no leader", shard)
			} else if current := fmt.Sprint(leader.status(shard).Voters); current != voters {
				t.Errorf("shard %d has voters %s, want %s", shard, current, voters)
			}
		}
	})
}

// When a core node is shut down just after another lost its power, it is needed for a majority, even
// while the member list still reports the other one as alive.
func TestNode_ShutdownWaitsForUnreachableVoter(t *testing.T) {
	inFleet(t, platformCoreShape(), func(t *testing.T, f *Fleet) {
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
			t.Errorf("write failed while two of three nodes run, one of them shutting down: %v", err)
		}
		f.startMachine(f.Machine("core1"))
		<-stopped
	})
}
