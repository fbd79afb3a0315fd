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
	reborn := func(incarnation uint64, state string) rpc.Member {
		member := atIncarnation(incarnation, state)
		member.ID = "another life"
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
		{"first heard of, alive", atIncarnation(1, StateAlive), false, true},
		{"first heard of, suspect", atIncarnation(1, StateSuspect), false, true},
		{"first heard of, dead", atIncarnation(1, StateDead), false, false},
		{"first heard of, left", atIncarnation(1, StateLeft), false, false},
		{"nothing new", known, true, false},
		{"better state, same incarnation", atIncarnation(5, StateAlive), true, false},
		{"worse state, same incarnation", atIncarnation(5, StateDead), true, true},
		{"left, same incarnation", atIncarnation(5, StateLeft), true, true},
		{"worse state, lower incarnation", atIncarnation(4, StateDead), true, false},
		{"refuted by a higher incarnation", atIncarnation(6, StateAlive), true, true},
		{"another life, higher incarnation", reborn(6, StateAlive), true, true},
		{"another life, same incarnation", reborn(5, StateAlive), true, false},
		{"another life, not alive", reborn(6, StateSuspect), true, false},
		{"without a name", nameless, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := supersedes(test.update, known, test.isKnown); got != test.want {
				t.Errorf("supersedes is %v, want %v", got, test.want)
			}
		})
	}
}

func TestRefutingIncarnation(t *testing.T) {
	otherLife := atIncarnation(7, StateAlive)
	otherLife.ID = "another life"
	for _, test := range []struct {
		name         string
		self, update rpc.Member
		want         uint64
	}{
		{"said to be alive", atIncarnation(5, StateAlive), atIncarnation(5, StateAlive), 0},
		{"suspected", atIncarnation(5, StateAlive), atIncarnation(5, StateSuspect), 6},
		{"said to be dead, higher incarnation", atIncarnation(5, StateAlive), atIncarnation(9, StateDead), 10},
		{"suspected at an incarnation refuted before", atIncarnation(5, StateAlive), atIncarnation(4, StateSuspect), 0},
		{"leaving, said to be dead", atIncarnation(5, StateLeft), atIncarnation(5, StateDead), 0},
		{"another life under the name", atIncarnation(5, StateAlive), otherLife, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := refutingIncarnation(test.self, test.update); got != test.want {
				t.Errorf("the incarnation is %d, want %d", got, test.want)
			}
		})
	}
}

func TestMemberlist_SuspectOfItselfIsRefuted(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0))
		m.applyUpdates([]rpc.Member{inState(testMember(0), StateSuspect)})
		if self := m.Self(); self.State != StateAlive || self.Incarnation != 2 {
			c.Errorf("the node is %s at incarnation %d", self.State, self.Incarnation)
		}
		if shown := m.View()[m.Self().Name]; shown.Incarnation != 2 {
			c.Errorf("the view shows incarnation %d", shown.Incarnation)
		}
	})
}
