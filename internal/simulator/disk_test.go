package simulator

import (
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// A node whose disk is full gives up leadership of its shards, forwards calls and logs one event.
// Once the disk has space, it takes part again without a restart.
func TestStorage_NodeWithFullDiskStepsDownAndRecovers(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		shard := ids.ShardOf("app/a")
		victim := f.leader(shard)
		node := victim.Node()
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), victim.APIAddress())
		put := func() bool {
			_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)})
			return err == nil
		}
		f.Network.Disk(victim.IP).Fill()
		go put() // the write detects the full disk
		if !f.WaitUntil(5*time.Second, func() bool { m := f.leader(shard); return m != nil && m != victim }) {
			t.Fatal("the node did not give up leadership of the shard")
		}
		if victim.Node() != node {
			t.Fatal("the node restarted or exited")
		}
		if !f.WaitUntil(3*time.Second, put) {
			t.Error("the node forwards no calls")
		}
		for other := range ids.Shard(ids.ShardCount) + 1 {
			if node.Consensus.Replica(other).IsLeader() {
				t.Errorf("the node still leads shard %d", other)
			}
		}
		statusBefore := victim.status(shard)
		time.Sleep(5 * time.Second)
		if victim.Node() != node {
			t.Fatal("the node restarted or exited")
		}
		if n := node.Env.Events.Counts()["StoreFailed"]; n != 1 {
			t.Errorf("%d StoreFailed events, want 1", n)
		}
		if !node.Store.IsFailing() {
			t.Error("the store does not report that it is failing")
		}
		f.Network.Disk(victim.IP).Resume()
		if !f.WaitUntil(3*time.Second, func() bool {
			if !put() {
				return false
			}
			time.Sleep(500 * time.Millisecond)
			status := victim.status(shard)
			return node.Store.StallTime() == 0 && status.CommitIndex > statusBefore.CommitIndex && status.LastIndex == f.leader(shard).status(shard).LastIndex
		}) {
			t.Error("the node did not recover without a restart")
		}
		if n := node.Env.Events.Counts()["StoreBack"]; n != 1 {
			t.Errorf("%d StoreBack events, want 1", n)
		}
	})
}

// A node that starts on a full disk waits for space and keeps its data; a full disk is not treated
// as corruption.
func TestStorage_NodeStartsOnceDiskHasSpace(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		m := f.Machine("core2")
		id := m.Node().Members.Self().ID
		f.Network.Disk(m.IP).Fill()
		m.Kill(true)
		started := make(chan struct{})
		go func() {
			f.startMachine(m)
			close(started)
		}()
		time.Sleep(5 * time.Second)
		select {
		case <-started:
			t.Error("the node started on a full disk")
		default:
		}
		f.Network.Disk(m.IP).Resume()
		<-started
		if m.Node() == nil {
			t.Fatal("the node did not start once the disk had space")
		}
		if newID := m.Node().Members.Self().ID; newID != id {
			t.Errorf("the node lost its data: member ID changed from %s to %s", id, newID)
		}
		if !f.WaitUntil(10*time.Second, f.isRepaired) {
			t.Error("the shards were not fully replicated again")
		}
	})
}
