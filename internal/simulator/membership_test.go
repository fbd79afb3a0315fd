package simulator

import (
	"testing"
	"time"
)

// Core nodes that restart together find one another through their seeds. They must also learn of the
// proxies, which still know the core nodes.
func TestMembership_RestartedCoresLearnAllProxies(t *testing.T) {
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
			restarted := time.Now()
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
			t.Log(time.Since(restarted))
			time.Sleep(2 * time.Second)
		}
	})
}

// A seed that does not respond must not delay a node from joining through the other seeds.
func TestMembership_UnresponsiveSeedDoesNotDelayJoin(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		unresponsive := f.Cores()[0]
		joiner := f.Add("late", 1, false, true)
		f.Network.Partition(unresponsive.IP, joiner.IP)
		f.Network.Partition(joiner.IP, unresponsive.IP)
		f.startMachine(joiner)
		began := time.Now()
		for len(joiner.Node().Members.CoreMembers()) < 3 && time.Since(began) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Error("the joining node knew all core nodes after", took)
		}
		f.Network.Heal()
	})
}
