// Bootstrap while founders are killed and lose power. Exactly one cluster must be formed, and
// nodes whose damaged store was replaced must not form another one.

package simulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// openClusters returns the cluster IDs of the charters that the core nodes hold, and the number of
// core nodes that hold one.
func openClusters(f *Fleet) (ids map[string]bool, n int) {
	ids = map[string]bool{}
	for _, m := range f.Cores() {
		if node := m.Node(); node != nil {
			if charter := node.Consensus.Charter(); charter != nil {
				ids[charter.ClusterID] = true
				n++
			}
		}
	}
	return ids, n
}

func TestBootstrap_FormsOneClusterDespiteKills(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(seed, Small(), io.Discard)
				defer f.Close()
				r := rand.New(rand.NewPCG(seed, 9))
				for _, m := range f.Cores() {
					f.startMachine(m)
					time.Sleep(time.Duration(r.Int64N(int64(50 * time.Millisecond))))
				}
				for range 1 + r.IntN(4) {
					time.Sleep(time.Duration(r.Int64N(int64(120 * time.Millisecond))))
					m := f.pick(f.Cores())
					m.Kill(r.IntN(2) == 0)
					time.Sleep(time.Duration(r.Int64N(int64(100 * time.Millisecond))))
					f.startMachine(m)
				}
				if !f.WaitUntil(15*time.Second, func() bool { _, n := openClusters(f); return n == 3 }) {
					t.Error("no cluster was formed")
				}
				if ids, _ := openClusters(f); len(ids) > 1 {
					t.Errorf("there are %d clusters", len(ids))
				}
				if !f.WaitUntil(15*time.Second, f.isRepaired) {
					t.Error("not every shard has a leader")
				}
			})
		})
	}
}

func TestBootstrap_DamagedCoreFormsNoSecondCluster(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		before, _ := openClusters(f)
		for _, m := range f.Cores() {
			m.Kill(false)
			f.Network.Disk(m.IP).CorruptManifest()
		}
		for _, m := range f.Cores() {
			f.startMachine(m)
		}
		time.Sleep(20 * time.Second)
		for id := range before {
			if after, n := openClusters(f); n > 0 && !after[id] || len(after) > 1 {
				t.Errorf("cluster %s was formed at boot, the core nodes now hold %v", id, after)
			}
		}
		for _, m := range f.Cores() {
			if m.Node() == nil || m.Node().Env.Events.Counts()["StoreDamaged"] != 1 {
				t.Errorf("%s did not report exactly one damaged store", m.Name)
			}
		}
		if f.IsUsable() {
			t.Error("core nodes that lost their state serve requests")
		}
	})
}

// The other founders have accepted a charter with a member ID that was lost with its disk. One
// cluster must be formed all the same.
func TestBootstrap_FounderLosesDiskBeforeOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, Small(), io.Discard)
		defer f.Close()
		victim := f.Machine("core2")
		accepted := make(chan struct{})
		var once sync.Once
		f.observeSteps(func(m *Machine, step any) {
			if charter, ok := step.(consensus.CharterEvent); ok && m == victim && !charter.IsOpen {
				for _, other := range f.Cores() {
					f.Network.Partition(victim.IP, other.IP)
				}
				once.Do(func() { close(accepted) })
			}
		})
		for _, m := range f.Cores() {
			f.startMachine(m)
		}
		<-accepted
		victim.Kill(true)
		f.Network.Disk(victim.IP).Wipe()
		f.observeSteps(func(*Machine, any) {})
		time.Sleep(3 * time.Second) // until the pending requests have timed out
		f.Network.Heal()
		f.startMachine(victim)
		if !f.WaitUntil(15*time.Second, func() bool { _, n := openClusters(f); return n == 3 }) {
			t.Fatal("no cluster was formed")
		}
		if ids, _ := openClusters(f); len(ids) > 1 {
			t.Errorf("there are %d clusters", len(ids))
		}
		if !f.WaitUntil(15*time.Second, f.isRepaired) {
			t.Error("not every shard has a leader")
		}
	})
}

// While another voter is down, a node that is needed for the quorum delays its planned stop until
// that voter is back.
func TestNode_NeededVoterDelaysShutdown(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		f.Machine("core1").Kill(true)
		time.Sleep(2 * time.Second)
		stopped := make(chan time.Time, 1)
		go func() {
			f.Machine("core2").Stop()
			stopped <- time.Now()
		}()
		time.Sleep(time.Second)
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("core3").APIAddress())
		if !f.WaitUntil(1500*time.Millisecond, func() bool {
			_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)})
			return err == nil
		}) {
			t.Error("no write succeeded with two of three core nodes running, one of them stopping")
		}
		restarted := time.Now()
		f.startMachine(f.Machine("core1"))
		if shutdownDelay := (<-stopped).Sub(restarted); shutdownDelay > 2*time.Second {
			t.Errorf("the node stopped %s after the other voter was restarted", shutdownDelay)
		}
	})
}
