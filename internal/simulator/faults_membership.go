// Members of the core that are replaced while other things go wrong: cut off until
// a spare has their places, back in the middle of it, with owners that lose their
// power between the steps of a change.

package simulator

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// replaceMembers cuts a core node off for about as long as its replacement takes, and
// takes the power of others meanwhile and at its return.
func replaceMembers(f *Fleet) {
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
	isolated := f.pick(f.Cores())
	f.Logf("cut %s off", isolated.Name)
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
			f.Logf("cut %s from %s", a.Name, b.Name)
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

// fillDisks takes the room on a disk, or on all, for a while; processes are started anew in
// the middle of it.
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
		f.Logf("%s is killed, with its power %v", victims[0].Name, losesPower)
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
		f.Logf("there is room on the disk of %s", m.Name)
		f.Network.Disk(m.IP).Resume()
	}
}

// coreFaults is what happens to core nodes, to be brought about two at a time.
var coreFaults = []func(*Fleet){killMachines, losePower, wipeDisks, partitionNetwork, pauseMachines, stallDisks, fillDisks, slowDisks, replaceMembers, forceLeaderChanges, stopMachines}

// pairCoreFaults lets two kinds of trouble of the core go on at once, each in its own time; over
// the seeds every pair meets.
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

// forceLeaderChanges takes the power of the configuration part's owner, or cuts it off, again
// and again.
func forceLeaderChanges(f *Fleet) {
	f.sleepBetween(300*time.Millisecond, 2*time.Second)
	leader := leaderOf(f, ids.ConfigShard, nil)
	if leader == nil {
		return
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("cut %s off", leader.Name)
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
