// Members of the core that are replaced while other things go wrong: cut off until
// a spare has their places, back in the middle of it, with owners that lose their
// power between the steps of a change.
package simulator

import (
	"sync"
	"time"
)

// replacing is a core of five whose lost members are soon replaced.
func replacing() Shape {
	shape := five()
	shape.Settings["pact.gone"] = "1s"
	return shape
}

// replacements cuts a core node off for about as long as its replacement takes, and
// takes the power of others meanwhile and at its return.
func replacements(f *Fleet) {
	f.nap(500*time.Millisecond, 2*time.Second)
	gone := f.pick(f.Cores())
	f.Say("cut %s off", gone.Name)
	f.isolate([]*Machine{gone})
	f.nap(time.Second, 5*time.Second)
	for range f.Rand.IntN(3) {
		other := f.pick(f.Cores())
		f.Say("%s loses power", other.Name)
		other.Kill(true)
		f.nap(0, 1500*time.Millisecond)
		if f.Rand.IntN(2) == 0 {
			f.Say("heal")
			f.W.Heal()
			one, two := f.pick(f.Cores()), f.pick(f.Cores())
			f.Say("cut %s from %s", one.Name, two.Name)
			f.W.Cut(one.IP, two.IP)
			f.W.Cut(two.IP, one.IP)
		}
		f.nap(0, time.Second)
		f.up(other)
	}
	f.Say("heal")
	f.W.Heal()
	f.nap(0, 3*time.Second)
}

// fulls takes the room on a disk, or on all, for a while; processes are started anew in
// the middle of it.
func fulls(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(5) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Say("the disk of %s is full", m.Name)
		f.W.Disk(m.IP).Fill()
	}
	f.nap(100*time.Millisecond, 4*time.Second)
	isKilled, isPower := f.Rand.IntN(2) == 0, f.Rand.IntN(2) == 0
	if isKilled {
		f.Say("%s is killed, with its power %v", victims[0].Name, isPower)
		victims[0].Kill(isPower)
		isUp := make(chan struct{})
		go func() {
			f.up(victims[0])
			close(isUp)
		}()
		defer func() { <-isUp }()
	}
	f.nap(100*time.Millisecond, 3*time.Second)
	for _, m := range victims {
		f.Say("there is room on the disk of %s", m.Name)
		f.W.Disk(m.IP).Resume()
	}
}

// coreTroubles is what happens to core nodes, to be brought about two at a time.
var coreTroubles = []func(*Fleet){kills, power, wipes, cuts, freezes, stalls, fulls, slows, replacements, takeovers, stops}

// pairs lets two kinds of trouble of the core go on at once, each in its own time; over
// the seeds every pair meets.
func pairs(f *Fleet) {
	one := f.Rand.IntN(len(coreTroubles))
	two := (one + 1 + f.Rand.IntN(len(coreTroubles)-1)) % len(coreTroubles)
	var all sync.WaitGroup
	for _, trouble := range []func(*Fleet){coreTroubles[one], coreTroubles[two]} {
		all.Go(func() {
			trouble(f)
			trouble(f)
		})
	}
	all.Wait()
	f.W.Heal()
	f.nap(time.Second, 3*time.Second)
}
