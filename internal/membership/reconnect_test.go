package membership

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestReconnect_LimitsReconnectorsPerMember(t *testing.T) {
	inCluster(t, func(c *cluster) {
		const size, deadIndex = 60, 33
		dead := testMember(deadIndex)
		reconnecting := 0
		var reconnector *Memberlist
		for index := range size {
			if index == deadIndex {
				continue
			}
			m := c.node(testMember(index))
			m.mergeList(testMembers(size))
			m.applyUpdates([]rpc.Member{inState(dead, StateDead)})
			if due := m.dueReconnects(map[ids.NodeName]*reconnectState{}, time.Now()); len(due) == 1 && due[0].Name == dead.Name {
				reconnecting++
				reconnector = m
			}
		}
		if reconnecting != reconnectorsPerMember {
			c.Fatalf("%d nodes try to reconnect to one dead member", reconnecting)
		}

		// The backoff grows to its maximum, and the attempts end after reconnectTimeout.
		reconnects := map[ids.NodeName]*reconnectState{}
		var attempts []time.Time
		for range 2 * int(reconnectTimeout/time.Second) {
			if len(reconnector.dueReconnects(reconnects, time.Now())) > 0 {
				attempts = append(attempts, time.Now())
			}
			time.Sleep(time.Second)
		}
		if n := len(attempts); n < int(reconnectTimeout/maxReconnectBackoff)*2/3 || n > int(reconnectTimeout/maxReconnectBackoff)*3/2 {
			c.Fatalf("%d attempts", n)
		}
		if firstPause, laterPause := attempts[1].Sub(attempts[0]), attempts[9].Sub(attempts[8]); laterPause < 2*firstPause {
			c.Errorf("the first pause is %s, a later one %s", firstPause, laterPause)
		}
		if duration := attempts[len(attempts)-1].Sub(attempts[0]); duration > reconnectTimeout {
			c.Errorf("still trying to reconnect after %s", duration)
		}

		recovered := dead
		recovered.Incarnation = 9
		reconnector.applyUpdates([]rpc.Member{recovered})
		if len(reconnector.dueReconnects(reconnects, time.Now())) > 0 || len(reconnects) != 0 {
			c.Error("still trying to reconnect to a live member")
		}
	})
}

func TestReconnect_RetriesDeadCoreMemberEverySecond(t *testing.T) {
	for _, test := range []struct {
		name               string
		size, reconnectors int
	}{
		{"small fleet", 10, 9},
		{"large fleet", 60, reconnectorsPerMember},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				members := testMembers(test.size)
				members[0].Core = true
				dead := inState(members[0], StateDead)
				var reconnectors []*Memberlist
				for _, self := range members[1:] {
					m := c.node(self)
					m.mergeList(members)
					m.applyUpdates([]rpc.Member{dead})
					if m.reconnectsTo(m.View(), dead) {
						reconnectors = append(reconnectors, m)
					}
				}
				if len(reconnectors) != test.reconnectors {
					c.Fatalf("%d of %d nodes try to reconnect to a dead core member", len(reconnectors), test.size)
				}
				reconnects, lastAttempt := map[ids.NodeName]*reconnectState{}, time.Now()
				for range 1200 {
					if len(reconnectors[0].dueReconnects(reconnects, time.Now())) > 0 {
						lastAttempt = time.Now()
					} else if pause := time.Since(lastAttempt); pause > minReconnectBackoff*5/4 {
						c.Fatalf("no attempt to reconnect to a core member for %s", pause)
					}
					time.Sleep(reconnectInterval / 4)
				}
			})
		})
	}
}
