package membership

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func atIncarnation(incarnation uint64, state string) rpc.Member {
	member := testMember(1)
	member.Incarnation, member.State = incarnation, state
	return member
}

func TestSupersedes(t *testing.T) {
	restarted := func(incarnation uint64, state string) rpc.Member {
		member := atIncarnation(incarnation, state)
		member.ID = "other ID"
		return member
	}
	nameless := atIncarnation(9, StateAlive)
	nameless.Name = ""
	known := atIncarnation(5, StateSuspect)
	for _, test := range []struct {
		name    string
		update  rpc.Member
		isKnown bool
		want    bool
	}{
		{"unknown, alive", atIncarnation(1, StateAlive), false, true},
		{"unknown, suspect", atIncarnation(1, StateSuspect), false, true},
		{"unknown, dead", atIncarnation(1, StateDead), false, false},
		{"unknown, left", atIncarnation(1, StateLeft), false, false},
		{"same state, same incarnation", known, true, false},
		{"alive over suspect, same incarnation", atIncarnation(5, StateAlive), true, false},
		{"dead over suspect, same incarnation", atIncarnation(5, StateDead), true, true},
		{"left over suspect, same incarnation", atIncarnation(5, StateLeft), true, true},
		{"dead over suspect, lower incarnation", atIncarnation(4, StateDead), true, false},
		{"alive over suspect, higher incarnation", atIncarnation(6, StateAlive), true, true},
		{"other member ID, alive, higher incarnation", restarted(6, StateAlive), true, true},
		{"other member ID, alive, same incarnation", restarted(5, StateAlive), true, false},
		{"other member ID, suspect, higher incarnation", restarted(6, StateSuspect), true, false},
		{"without a name", nameless, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := supersedes(test.update, known, test.isKnown); got != test.want {
				t.Errorf("supersedes: %v, want %v", got, test.want)
			}
		})
	}
}

func TestRefutingIncarnation(t *testing.T) {
	otherID := atIncarnation(7, StateAlive)
	otherID.ID = "other ID"
	for _, test := range []struct {
		name         string
		self, update rpc.Member
		want         uint64
	}{
		{"alive", atIncarnation(5, StateAlive), atIncarnation(5, StateAlive), 0},
		{"suspected", atIncarnation(5, StateAlive), atIncarnation(5, StateSuspect), 6},
		{"dead, higher incarnation", atIncarnation(5, StateAlive), atIncarnation(9, StateDead), 10},
		{"suspected, lower incarnation", atIncarnation(5, StateAlive), atIncarnation(4, StateSuspect), 0},
		{"dead, while leaving", atIncarnation(5, StateLeft), atIncarnation(5, StateDead), 0},
		{"alive, other member ID", atIncarnation(5, StateAlive), otherID, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := refutingIncarnation(test.self, test.update); got != test.want {
				t.Errorf("incarnation: %d, want %d", got, test.want)
			}
		})
	}
}

func TestMemberlist_RefutesSuspicionOfItself(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0))
		m.applyUpdates([]rpc.Member{inState(testMember(0), StateSuspect)})
		if self := m.Self(); self.State != StateAlive || self.Incarnation != 2 {
			c.Errorf("the node is %s at incarnation %d", self.State, self.Incarnation)
		}
		if inView := m.View()[m.Self().Name]; inView.Incarnation != 2 {
			c.Errorf("the view shows incarnation %d", inView.Incarnation)
		}
	})
}
