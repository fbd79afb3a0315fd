package simulator

import (
	"testing"
	"time"
)

// Core nodes that come back together find one another through their seeds; the
// proxies, which knew them all along, must not stay unknown to them.
func TestMembership_ReturningCoreSoonKnowsTheProxies(t *testing.T) {
	shape := Small()
	shape.Proxies = 6
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for range 4 {
			for _, m := range f.Cores() {
				m.Kill(true)
			}
			time.Sleep(300 * time.Millisecond)
			for _, m := range f.Cores() {
				f.startMachine(m)
			}
			back := time.Now()
			isKnown := func() bool {
				for _, core := range f.Cores() {
					for _, proxyNode := range f.Proxies() {
						if _, ok := core.Node().Members.Lookup(proxyNode.Node().Env.Name); !ok {
							return false
						}
					}
				}
				return true
			}
			if !f.WaitUntil(5*time.Second, isKnown) {
				t.Error("after 5 s a core node does not know every proxy")
			}
			t.Log(time.Since(back))
			time.Sleep(2 * time.Second)
		}
	})
}

// A seed that does not answer keeps no node from joining through the others.
func TestMembership_SilentSeedDelaysNoJoin(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		silent := f.Cores()[0]
		late := f.Add("late", 1, false, true)
		f.Network.Partition(silent.IP, late.IP)
		f.Network.Partition(late.IP, silent.IP)
		f.startMachine(late)
		began := time.Now()
		for len(late.Node().Members.CoreMembers()) < 3 && time.Since(began) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Error("it knew the core after", took)
		}
		f.Network.Heal()
	})
}
