package membership

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

func TestProbeSchedule_EachMemberOncePerRound(t *testing.T) {
	view := map[ids.NodeName]NodeState{}
	for _, member := range testMembers(10) {
		view[member.Name] = NodeState{Member: member}
	}
	dead := view["node9"]
	dead.State = StateDead
	view["node9"] = dead
	schedule := &probeSchedule{self: "node0", zone: "z0"}
	for round := range 3 {
		probed := map[ids.NodeName]bool{}
		for range 8 {
			member, ok := schedule.next(view)
			if !ok {
				t.Fatal("nobody to probe")
			}
			probed[member.Name] = true
		}
		if len(probed) != 8 || probed["node0"] || probed["node9"] {
			t.Errorf("round %d probed %v", round, probed)
		}
	}
}

func TestProbeSchedule_FarMembersOfALargeFleetInOneOfFourRounds(t *testing.T) {
	const size, rounds = 4 * fullProbeLimit, 8
	view := map[ids.NodeName]NodeState{}
	for _, member := range testMembers(size) {
		view[member.Name] = NodeState{Member: member}
	}
	schedule := &probeSchedule{self: "node0", zone: "z0"}
	probes := map[ids.NodeName]int{}
	for range rounds {
		schedule.startRound(view)
	}
	for _, name := range schedule.remaining {
		probes[name]++
	}
	for name, member := range view {
		want := rounds / farProbeRounds
		if member.Zone == "z0" {
			want = rounds
		}
		if name == "node0" {
			want = 0
		}
		if probes[name] != want {
			t.Errorf("%s of zone %s is probed %d times in %d rounds, want %d", name, member.Zone, probes[name], rounds, want)
		}
	}
}
