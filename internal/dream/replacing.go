// Members of the core that are replaced while other things go wrong: cut off until
// a spare has their places, back in the middle of it, with owners that lose their
// power between the steps of a change.
package dream

import "time"

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
