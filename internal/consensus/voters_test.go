package consensus

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func peers(names string) (list []rpc.Peer) {
	for _, name := range names {
		list = append(list, rpc.Peer{Name: ids.NodeName("core-" + string(name)), ID: "b"})
	}
	return list
}

func TestVoters_JointQuorum(t *testing.T) {
	joint := Voters{Current: peers("ABD"), Outgoing: peers("ABC")}
	for some, want := range map[string]bool{"AB": true, "AD": false, "AC": false, "ACD": true, "BCD": true, "CD": false, "ABCD": true, "": false} {
		if got := joint.HasQuorum(peers(some)); got != want {
			t.Errorf("%q decides: %v", some, got)
		}
	}
	value := map[string]int64{"A": 9, "B": 5, "C": 1, "D": 7}
	if got := joint.QuorumValue(func(p rpc.Peer) int64 { return value[string(p.Name[len(p.Name)-1:])] }); got != 5 {
		t.Errorf("reached %d, want 5: the former majority is A and B", got)
	}
	reborn := rpc.Peer{Name: peers("A")[0].Name, ID: "other"}
	if joint.HasQuorum([]rpc.Peer{reborn, peers("B")[0]}) {
		t.Error("another birth of a member has its vote")
	}
}

func TestVoters_CanBecome(t *testing.T) {
	simple := func(names string) Voters { return Voters{Current: peers(names)} }
	joint := func(names, former string) Voters { return Voters{Current: peers(names), Outgoing: peers(former)} }
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
		if got := step.from.canBecome(step.to); got != step.want {
			t.Errorf("%s to %s: %v", step.from, step.to, got)
		}
	}
}
