// Pre-votes: a core that lost all its processes has leaders again soon after the
// last of them is back, and a member that comes back alone takes nothing from others.

package simulator

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// countServedShards is how many shards have a leader that serves.
func countServedShards(f *Fleet) (n int) {
	for shard := range ids.ShardCount + 1 {
		if leaderOf(f, ids.Shard(shard), nil) != nil {
			n++
		}
	}
	return n
}

func TestPrevote_RestartedCoreElectsLeadersAtOnce(t *testing.T) {
	for _, shape := range []Shape{Small(), fiveCoreShape()} {
		inFleet(t, shape, func(t *testing.T, f *Fleet) {
			for i := range 8 {
				for _, m := range f.Cores() {
					m.Kill(i%2 == 0)
				}
				time.Sleep(800 * time.Millisecond)
				for _, m := range f.Cores() {
					f.startMachine(m)
				}
				back := time.Now()
				for countServedShards(f) < ids.ShardCount+1 && time.Since(back) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(back); took > 450*time.Millisecond {
					t.Error("the shards were served after", took)
				}
				time.Sleep(3 * time.Second)
			}
		})
	}
}

// deposedLeaders counts leaders that were deposed, rather than passing the leadership on.
type deposedLeaders struct{ n atomic.Int64 }

func (s *deposedLeaders) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":304`)) && !bytes.Contains(line, []byte("leadership transferred")) {
		s.n.Add(1)
	}
	return len(line), nil
}

func TestPrevote_RestartedMemberDisruptsNoLeader(t *testing.T) {
	inFleet(t, fiveCoreShape(), func(t *testing.T, f *Fleet) {
		var taken deposedLeaders
		f.Log = &taken // heard from whoever starts from now on
		time.Sleep(3 * time.Second)
		for _, m := range f.Cores() {
			m.Kill(true)
			time.Sleep(4 * time.Second)
			f.startMachine(m)
			time.Sleep(time.Second)
		}
		for _, m := range f.Cores() {
			m.Kill(true)
			time.Sleep(4 * time.Second)
			before := taken.n.Load()
			f.startMachine(m)
			time.Sleep(time.Second)
			if n := taken.n.Load() - before; n > 0 {
				t.Errorf("%s came back, and %d shards changed their leader", m.Name, n)
			}
		}
	})
}

// A planner that has just started knows nobody yet; the proxies that it has not met keep
// their shares for as long as those that went, so that no epoch is made of its ignorance.
func TestPrevote_RestartedCoreKeepsEpoch(t *testing.T) {
	shape := Small()
	shape.Proxies = 6
	shape.Settings["controlplane.keep_targets_on_takeover"], shape.Settings["controlplane.takeover_delay"], shape.Settings["controlplane.share_retention"] = "true", "3s", "30s"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		epoch := f.Machine("proxy1").Node().Distribution.Cache.Snapshot().Epoch
		for range 4 {
			for _, m := range f.Machines {
				m.Kill(true)
			}
			time.Sleep(800 * time.Millisecond)
			for _, m := range append(f.Cores(), f.Proxies()...) {
				if m.IsProxy {
					time.Sleep(150 * time.Millisecond)
				}
				f.startMachine(m)
			}
			time.Sleep(6 * time.Second)
			if now := f.Machine("proxy1").Node().Distribution.Cache.Snapshot().Epoch; now != epoch {
				t.Errorf("epoch %d became %d", epoch, now)
				epoch = now
			}
		}
	})
}

// TestPrevote_IsolatedMemberDisruptsNoLeader: it would campaign under ever higher terms,
// and once it is heard again the leader's would be below them.
func TestPrevote_IsolatedMemberDisruptsNoLeader(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		leader := f.leader(ids.ConfigShard)
		isolated := follower(f, ids.ConfigShard)
		before := leader.status(ids.ConfigShard).CurrentTerm
		f.Network.Partition(leader.IP, isolated.IP)
		time.Sleep(5 * time.Second)
		f.Network.Heal()
		time.Sleep(3 * time.Second)
		if after := leader.status(ids.ConfigShard); !after.IsServing || after.CurrentTerm != before {
			t.Errorf("the leader of %s was deposed by a member that did not hear it: %s", before, after.CurrentTerm)
		}
	})
}
