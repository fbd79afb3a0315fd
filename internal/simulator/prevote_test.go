// Pre-votes: a core whose nodes were all killed elects leaders soon after the last node has
// restarted, and a single restarted member deposes no leader.

package simulator

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// countServedShards returns the number of shards that have a serving leader.
func countServedShards(f *Fleet) (n int) {
	for shard := range ids.ShardCount + 1 {
		if leaderOf(f, ids.Shard(shard), nil) != nil {
			n++
		}
	}
	return n
}

func TestPrevote_RestartedCoreElectsLeadersPromptly(t *testing.T) {
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
				restarted := time.Now()
				for countServedShards(f) < ids.ShardCount+1 && time.Since(restarted) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if elapsed := time.Since(restarted); elapsed > 450*time.Millisecond {
					t.Error("the shards had leaders only after", elapsed)
				}
				time.Sleep(3 * time.Second)
			}
		})
	}
}

// depositionCounter is a log writer that counts lost leaderships other than by transfer.
type depositionCounter struct{ n atomic.Int64 }

func (c *depositionCounter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":304`)) && !bytes.Contains(line, []byte("leadership transferred")) {
		c.n.Add(1)
	}
	return len(line), nil
}

func TestPrevote_RestartedMemberDoesNotDisruptLeaders(t *testing.T) {
	inFleet(t, fiveCoreShape(), func(t *testing.T, f *Fleet) {
		var depositions depositionCounter
		f.Log = &depositions // applies to nodes that start from now on
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
			before := depositions.n.Load()
			f.startMachine(m)
			time.Sleep(time.Second)
			if n := depositions.n.Load() - before; n > 0 {
				t.Errorf("%s restarted, and %d leaders were deposed", m.Name, n)
			}
		}
	})
}

// A planner that has just started knows no proxies yet. Proxies that it has not seen keep their
// quota shares for as long as departed ones, so that a restart alone makes no new epoch.
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
			if current := f.Machine("proxy1").Node().Distribution.Cache.Snapshot().Epoch; current != epoch {
				t.Errorf("the restart changed epoch %d to %d", epoch, current)
				epoch = current
			}
		}
	})
}

// Without pre-votes an isolated member campaigns under ever higher terms, and deposes the leader
// when the partition heals.
func TestPrevote_IsolatedMemberDoesNotDisruptLeader(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		leader := f.leader(ids.ConfigShard)
		isolated := follower(f, ids.ConfigShard)
		before := leader.status(ids.ConfigShard).CurrentTerm
		f.Network.Partition(leader.IP, isolated.IP)
		time.Sleep(5 * time.Second)
		f.Network.Heal()
		time.Sleep(3 * time.Second)
		if after := leader.status(ids.ConfigShard); !after.IsServing || after.CurrentTerm != before {
			t.Errorf("the leader of term %s was deposed by a member that had been isolated from it: term %s", before, after.CurrentTerm)
		}
	})
}
