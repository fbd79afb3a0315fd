package membership

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestReconnect_FewNodesLookForADeadMember(t *testing.T) {
	inCluster(t, func(c *cluster) {
		const size, lostIndex = 60, 33
		lost := testMember(lostIndex)
		looking := 0
		var searcher *Memberlist
		for index := range size {
			if index == lostIndex {
				continue
			}
			m := c.node(testMember(index))
			m.mergeList(testMembers(size))
			m.applyUpdates([]rpc.Member{inState(lost, StateDead)})
			if due := m.dueReconnects(map[ids.NodeName]*reconnectState{}, time.Now()); len(due) == 1 && due[0].Name == lost.Name {
				looking++
				searcher = m
			}
		}
		if looking != reconnectors {
			c.Fatalf("%d nodes look for one dead member", looking)
		}

		// The pauses grow up to a bound, and the search ends.
		searches := map[ids.NodeName]*reconnectState{}
		var attempts []time.Time
		for range 2 * int(reconnectTimeout/time.Second) {
			if len(searcher.dueReconnects(searches, time.Now())) > 0 {
				attempts = append(attempts, time.Now())
			}
			time.Sleep(time.Second)
		}
		if n := len(attempts); n < int(reconnectTimeout/maxReconnectBackoff)*2/3 || n > int(reconnectTimeout/maxReconnectBackoff)*3/2 {
			c.Fatalf("%d attempts", n)
		}
		if first, later := attempts[1].Sub(attempts[0]), attempts[9].Sub(attempts[8]); later < 2*first {
			c.Errorf("the first pause was %s, a later one %s", first, later)
		}
		if last := attempts[len(attempts)-1].Sub(attempts[0]); last > reconnectTimeout {
			c.Errorf("still asked after %s", last)
		}

		back := lost
		back.Incarnation = 9
		searcher.applyUpdates([]rpc.Member{back})
		if len(searcher.dueReconnects(searches, time.Now())) > 0 || len(searches) != 0 {
			c.Error("looked for though it is back")
		}
	})
}

func TestReconnect_DeadCoreMemberIsAskedEverySecond(t *testing.T) {
	for _, test := range []struct {
		name            string
		size, searchers int
	}{
		{"small fleet", 10, 9},
		{"large fleet", 60, reconnectors},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				members := testMembers(test.size)
				members[0].Core = true
				dead := inState(members[0], StateDead)
				var searchers []*Memberlist
				for _, self := range members[1:] {
					m := c.node(self)
					m.mergeList(members)
					m.applyUpdates([]rpc.Member{dead})
					if m.reconnectsTo(m.View(), dead) {
						searchers = append(searchers, m)
					}
				}
				if len(searchers) != test.searchers {
					c.Fatalf("%d of %d nodes look for a dead core member", len(searchers), test.size)
				}
				searches, last := map[ids.NodeName]*reconnectState{}, time.Now()
				for range 1200 {
					if len(searchers[0].dueReconnects(searches, time.Now())) > 0 {
						last = time.Now()
					} else if pause := time.Since(last); pause > minReconnectBackoff*5/4 {
						c.Fatalf("a core member was not asked for %s", pause)
					}
					time.Sleep(reconnectInterval / 4)
				}
			})
		})
	}
}
