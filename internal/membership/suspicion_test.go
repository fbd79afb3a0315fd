package membership

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestSuspicionTimeout_GrowsLogarithmicallyWithFleetSize(t *testing.T) {
	for _, test := range []struct {
		members int
		want    time.Duration
	}{{1, time.Second}, {8, time.Second}, {64, 2 * time.Second}, {512, 3 * time.Second}} {
		if got := suspicionTimeout(time.Second, test.members); got != test.want {
			t.Errorf("%d members: %s, want %s", test.members, got, test.want)
		}
	}
}

func TestExpireSuspicions(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0))
		m.mergeList(testMembers(3))
		suspect, refuting := testMember(1), testMember(2)
		m.applyUpdates([]rpc.Member{inState(suspect, StateSuspect), inState(refuting, StateSuspect)})
		time.Sleep(m.config.suspicionTimeout)
		m.expireSuspicions()
		if !m.IsLive(rpc.Peer{Name: suspect.Name, ID: suspect.ID}) {
			c.Error("declared dead before the suspicion timeout")
		}
		refuting.Incarnation++
		m.applyUpdates([]rpc.Member{refuting})
		time.Sleep(time.Millisecond)
		m.expireSuspicions()
		if state := m.View()[suspect.Name].State; state != StateDead {
			c.Errorf("the suspect that did not refute is %s", state)
		}
		if state := m.View()[refuting.Name].State; state != StateAlive {
			c.Errorf("the suspect that refuted is %s", state)
		}
	})
}
