package consensus

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// peers returns one peer for each letter of names: core-A for A, all with member id "b".
func peers(names string) (list []rpc.Peer) {
	for _, name := range names {
		list = append(list, rpc.Peer{Name: ids.NodeName("core-" + string(name)), ID: "b"})
	}
	return list
}

func TestVoters_JointQuorum(t *testing.T) {
	joint := Voters{Current: peers("ABD"), Outgoing: peers("ABC")}
	for names, want := range map[string]bool{"AB": true, "AD": false, "AC": false, "ACD": true, "BCD": true, "CD": false, "ABCD": true, "": false} {
		if got := joint.HasQuorum(peers(names)); got != want {
			t.Errorf("HasQuorum of %q is %v, want %v", names, got, want)
		}
	}
	value := map[string]int64{"A": 9, "B": 5, "C": 1, "D": 7}
	if got := joint.QuorumValue(func(p rpc.Peer) int64 { return value[string(p.Name[len(p.Name)-1:])] }); got != 5 {
		t.Errorf("quorum value %d, want 5: the outgoing majority is A and B", got)
	}
	renewed := rpc.Peer{Name: peers("A")[0].Name, ID: "other"}
	if joint.HasQuorum([]rpc.Peer{renewed, peers("B")[0]}) {
		t.Error("a node with a new member id counts as the old voter")
	}
}

func TestVoters_CanBecome(t *testing.T) {
	simple := func(names string) Voters { return Voters{Current: peers(names)} }
	joint := func(names, outgoing string) Voters { return Voters{Current: peers(names), Outgoing: peers(outgoing)} }
	for _, step := range []struct {
		from, to Voters
		want     bool
	}{
		{simple("ABC"), joint("ABD", "ABC"), true},
		{simple("ABC"), joint("DEF", "ABC"), true},
		{joint("ABD", "ABC"), simple("ABD"), true},
		{simple("ABC"), simple("AB"), true},
		{simple("AB"), simple("ABD"), true},
		{simple("ABC"), simple("ABD"), false},
		{simple("ABC"), joint("ABD", "ABE"), false},
		{joint("ABD", "ABC"), simple("ABE"), false},
		{joint("ABD", "ABC"), simple("ABC"), false},
		{joint("ABD", "ABC"), joint("ABE", "ABD"), false},
		{simple("ABC"), simple(""), false},
	} {
		t.Run(step.from.String()+" to "+step.to.String(), func(t *testing.T) {
			if got := step.from.canBecome(step.to); got != step.want {
				t.Errorf("got %v, want %v", got, step.want)
			}
		})
	}
}
