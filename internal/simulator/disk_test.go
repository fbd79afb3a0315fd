package simulator

import (
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// A node whose disk is full gives up the shards it leads, forwards calls, logs it once, and
// is a member again when there is room, without a restart.
func TestStorage_NodeWithAFullDiskGoesOn(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		shard := ids.ShardOf("app/a")
		full := f.leader(shard)
		node := full.Node()
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), full.APIAddress())
		put := func() bool {
			_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)})
			return err == nil
		}
		f.Network.Disk(full.IP).Fill()
		go put() // what is written shows that the disk is full
		if !f.WaitUntil(5*time.Second, func() bool { m := f.leader(shard); return m != nil && m != full }) {
			t.Fatal("the shard is not given up")
		}
		if full.Node() != node {
			t.Fatal("the process has ended")
		}
		if !f.WaitUntil(3*time.Second, put) {
			t.Error("it forwards no calls")
		}
		for other := range ids.Shard(ids.ShardCount) + 1 {
			if node.Consensus.Replica(other).IsLeader() {
				t.Errorf("it still leads shard %d", other)
			}
		}
		before := full.status(shard)
		time.Sleep(5 * time.Second)
		if full.Node() != node {
			t.Fatal("the process has ended")
		}
		if n := node.Env.Events.Counts()["StoreFailed"]; n != 1 {
			t.Errorf("%d events tell of it", n)
		}
		if !node.Store.IsFailing() {
			t.Error("it does not know that its disk is full")
		}
		f.Network.Disk(full.IP).Resume()
		if !f.WaitUntil(3*time.Second, func() bool {
			if !put() {
				return false
			}
			time.Sleep(500 * time.Millisecond)
			now := full.status(shard)
			return node.Store.StallTime() == 0 && now.CommitIndex > before.CommitIndex && now.LastIndex == f.leader(shard).status(shard).LastIndex
		}) {
			t.Error("it does not come back by itself")
		}
		if n := node.Env.Events.Counts()["StoreBack"]; n != 1 {
			t.Errorf("%d events tell of its return", n)
		}
	})
}

// A disk without room is no corruption: the node waits for room and keeps its data.
func TestStorage_NodeStartsWhenTheDiskHasRoom(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		m := f.Machine("core2")
		id := m.Node().Members.Self().ID
		f.Network.Disk(m.IP).Fill()
		m.Kill(true)
		isUp := make(chan struct{})
		go func() {
			f.startMachine(m)
			close(isUp)
		}()
		time.Sleep(5 * time.Second)
		select {
		case <-isUp:
			t.Error("it is up on a full disk")
		default:
		}
		f.Network.Disk(m.IP).Resume()
		<-isUp
		if m.Node() == nil {
			t.Fatal("it is not up when there is room")
		}
		if now := m.Node().Members.Self().ID; now != id {
			t.Errorf("its data was set aside: its member ID was %s and is %s", id, now)
		}
		if !f.WaitUntil(10*time.Second, f.isRepaired) {
			t.Error("it is no member again")
		}
	})
}
