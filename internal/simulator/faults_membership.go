// Faults of the core's membership. Core nodes are replaced while other faults occur: a node is
// isolated until a spare takes its place or returns during the replacement, and leaders lose power
// between the steps of a membership change.

package simulator

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// replaceMembers isolates a core node for about as long as its replacement takes, and cuts the
// power of random core nodes during that time and after partitions heal.
func replaceMembers(f *Fleet) {
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
	isolated := f.pick(f.Cores())
	f.Logf("isolate %s", isolated.Name)
	f.isolate([]*Machine{isolated})
	f.sleepBetween(time.Second, 5*time.Second)
	for range f.Rand.IntN(3) {
		other := f.pick(f.Cores())
		f.Logf("%s loses power", other.Name)
		other.Kill(true)
		f.sleepBetween(0, 1500*time.Millisecond)
		if f.Rand.IntN(2) == 0 {
			f.Logf("heal")
			f.Network.Heal()
			a, b := f.pick(f.Cores()), f.pick(f.Cores())
			f.Logf("partition %s from %s, both directions", a.Name, b.Name)
			f.Network.Partition(a.IP, b.IP)
			f.Network.Partition(b.IP, a.IP)
		}
		f.sleepBetween(0, time.Second)
		f.startMachine(other)
	}
	f.Logf("heal")
	f.Network.Heal()
	f.sleepBetween(0, 3*time.Second)
}

// fillDisks makes the disk of one core node, or of all, full for a while, and may restart a process
// during that time.
func fillDisks(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(5) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Logf("the disk of %s is full", m.Name)
		f.Network.Disk(m.IP).Fill()
	}
	f.sleepBetween(100*time.Millisecond, 4*time.Second)
	isKilled, losesPower := f.Rand.IntN(2) == 0, f.Rand.IntN(2) == 0
	if isKilled {
		f.Logf("kill %s (power lost: %v)", victims[0].Name, losesPower)
		victims[0].Kill(losesPower)
		started := make(chan struct{})
		go func() {
			f.startMachine(victims[0])
			close(started)
		}()
		defer func() { <-started }()
	}
	f.sleepBetween(100*time.Millisecond, 3*time.Second)
	for _, m := range victims {
		f.Logf("the disk of %s has space again", m.Name)
		f.Network.Disk(m.IP).Resume()
	}
}

// coreFaults are the faults that pairCoreFaults combines.
var coreFaults = []func(*Fleet){killMachines, losePower, wipeDisks, partitionNetwork, pauseMachines, stallDisks, fillDisks, slowDisks, replaceMembers, forceLeaderChanges, stopMachines}

// pairCoreFaults runs two random kinds of core faults concurrently, each twice. Over many seeds,
// every pair occurs.
func pairCoreFaults(f *Fleet) {
	first := f.Rand.IntN(len(coreFaults))
	second := (first + 1 + f.Rand.IntN(len(coreFaults)-1)) % len(coreFaults)
	var running sync.WaitGroup
	for _, inject := range []func(*Fleet){coreFaults[first], coreFaults[second]} {
		running.Go(func() {
			inject(f)
			inject(f)
		})
	}
	running.Wait()
	f.Network.Heal()
	f.sleepBetween(time.Second, 3*time.Second)
}

// forceLeaderChanges cuts the power of the configuration shard's leader, or isolates it.
func forceLeaderChanges(f *Fleet) {
	f.sleepBetween(300*time.Millisecond, 2*time.Second)
	leader := leaderOf(f, ids.ConfigShard, nil)
	if leader == nil {
		return
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("isolate %s", leader.Name)
		f.isolate([]*Machine{leader})
		f.sleepBetween(200*time.Millisecond, 3*time.Second)
		f.Logf("heal")
		f.Network.Heal()
		return
	}
	f.Logf("%s loses power", leader.Name)
	leader.Kill(true)
	f.sleepBetween(0, 2*time.Second)
	f.startMachine(leader)
}
