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
	removed := f.pick(f.Cores())
	f.Logf("cut %s off", removed.Name)
	f.isolate([]*Machine{removed})
	f.sleepBetween(time.Second, 5*time.Second)
	for range f.Rand.IntN(3) {
		other := f.pick(f.Cores())
		f.Logf("%s loses power", other.Name)
		other.Kill(true)
		f.sleepBetween(0, 1500*time.Millisecond)
		if f.Rand.IntN(2) == 0 {
			f.Logf("heal")
			f.Network.Heal()
			one, two := f.pick(f.Cores()), f.pick(f.Cores())
			f.Logf("cut %s from %s", one.Name, two.Name)
			f.Network.Partition(one.IP, two.IP)
			f.Network.Partition(two.IP, one.IP)
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
	isKilled, isPower := f.Rand.IntN(2) == 0, f.Rand.IntN(2) == 0
	if isKilled {
		f.Logf("%s is killed, with its power %v", victims[0].Name, isPower)
		victims[0].Kill(isPower)
		isUp := make(chan struct{})
		go func() {
			f.startMachine(victims[0])
			close(isUp)
		}()
		defer func() { <-isUp }()
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
	one := f.Rand.IntN(len(coreFaults))
	two := (one + 1 + f.Rand.IntN(len(coreFaults)-1)) % len(coreFaults)
	var all sync.WaitGroup
	for _, trouble := range []func(*Fleet){coreFaults[one], coreFaults[two]} {
		all.Go(func() {
			trouble(f)
			trouble(f)
		})
	}
	all.Wait()
	f.Network.Heal()
	f.sleepBetween(time.Second, 3*time.Second)
}

// forceLeaderChanges takes the power of the configuration part's owner, or cuts it off, again
// and again.
func forceLeaderChanges(f *Fleet) {
	f.sleepBetween(300*time.Millisecond, 2*time.Second)
	owner := leaderOf(f, ids.ConfigShard, nil)
	if owner == nil {
		return
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("cut %s off", owner.Name)
		f.isolate([]*Machine{owner})
		f.sleepBetween(200*time.Millisecond, 3*time.Second)
		f.Logf("heal")
		f.Network.Heal()
		return
	}
	f.Logf("%s loses power", owner.Name)
	owner.Kill(true)
	f.sleepBetween(0, 2*time.Second)
	f.startMachine(owner)
}
