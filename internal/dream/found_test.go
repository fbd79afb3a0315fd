// Founding while founders are killed and lose power: there is one fleet in the
// end, whatever happened on the way, and a store that took the place of a
// damaged one never founds another.
package dream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// fleets is the charters in force, and how many core nodes have one.
func fleets(f *Fleet) (ids map[string]bool, n int) {
	ids = map[string]bool{}
	for _, m := range f.Cores() {
		if node := m.Node(); node != nil {
			if charter := node.Consensus.Charter(); charter != nil {
				ids[charter.Fleet] = true
				n++
			}
		}
	}
	return ids, n
}

func TestFoundingUnderKillsMakesOneFleet(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(seed, Small(), io.Discard)
				defer f.Close()
				r := rand.New(rand.NewPCG(seed, 9))
				for _, m := range f.Cores() {
					f.up(m)
					time.Sleep(time.Duration(r.Int64N(int64(50 * time.Millisecond))))
				}
				for range 1 + r.IntN(4) {
					time.Sleep(time.Duration(r.Int64N(int64(120 * time.Millisecond))))
					m := f.pick(f.Cores())
					m.Kill(r.IntN(2) == 0)
					time.Sleep(time.Duration(r.Int64N(int64(100 * time.Millisecond))))
					f.up(m)
				}
				if !f.Until(15*time.Second, func() bool { _, n := fleets(f); return n == 3 }) {
					t.Error("the fleet is not founded")
				}
				if ids, _ := fleets(f); len(ids) > 1 {
					t.Errorf("there are %d fleets", len(ids))
				}
				if !f.Until(15*time.Second, f.isMended) {
					t.Error("not every part has an owner")
				}
			})
		})
	}
}

func TestACoreDamagedAsAWholeFoundsNoSecondFleet(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		before, _ := fleets(f)
		for _, m := range f.Cores() {
			m.Kill(false)
			f.W.Disk(m.IP).SpoilAll()
		}
		for _, m := range f.Cores() {
			f.up(m)
		}
		time.Sleep(20 * time.Second)
		for id := range before {
			if after, n := fleets(f); n > 0 && !after[id] || len(after) > 1 {
				t.Errorf("fleet %s was there, now %v", id, after)
			}
		}
		for _, m := range f.Cores() {
			if m.Node() == nil || m.Node().R.Sign.Counts()["StoreDamaged"] != 1 {
				t.Errorf("%s does not report its damage", m.Name)
			}
		}
		if f.IsUsable() {
			t.Error("a core without its state serves")
		}
	})
}
