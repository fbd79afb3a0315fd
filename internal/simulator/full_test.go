package simulator

import (
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// TestANodeWhoseDiskIsFullGoesOn: it gives up what it owns, passes calls on, says so
// once, and is a member again when there is room, without a restart.
func TestANodeWhoseDiskIsFullGoesOn(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		no := ids.ShardOf("app/a")
		full := f.owner(no)
		node := full.Node()
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), full.APIAddress())
		put := func() bool {
			_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)})
			return err == nil
		}
		f.Network.Disk(full.IP).Fill()
		go put() // what is written shows that the disk is full
		if !f.WaitUntil(5*time.Second, func() bool { m := f.owner(no); return m != nil && m != full }) {
			t.Fatal("the part is not given up")
		}
		if !f.WaitUntil(3*time.Second, put) {
			t.Error("it passes no calls on")
		}
		for no := range ids.ShardCount + 1 {
			if node.Consensus.Replica(ids.Shard(no)).IsLeader() {
				t.Errorf("it still owns part %d", no)
			}
		}
		before := full.status(no)
		time.Sleep(5 * time.Second)
		if full.Node() != node {
			t.Fatal("the process has ended")
		}
		if n := node.R.Events.Counts()["StoreFailed"]; n != 1 {
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
			now := full.status(no)
			return node.Store.StallTime() == 0 && now.CommitIndex > before.CommitIndex && now.LastIndex == f.owner(no).status(no).LastIndex
		}) {
			t.Error("it does not come back by itself")
		}
		if n := node.R.Events.Counts()["StoreBack"]; n != 1 {
			t.Errorf("%d events tell of its return", n)
		}
	})
}

// TestANodeStartsWhenThereIsRoom: no space at a start is no damage, and no end.
func TestANodeStartsWhenThereIsRoom(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		m := f.Machine("core2")
		birth := m.Node().Kin.Self().ID
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
		if now := m.Node().Kin.Self().ID; now != birth {
			t.Errorf("its data was set aside: it was born as %s and is %s", birth, now)
		}
		if !f.WaitUntil(10*time.Second, f.isRepaired) {
			t.Error("it is no member again")
		}
	})
}
