package controlplane

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestNormalizeAges_PreviousTargetsRemainOldestUntilTheyDepart(t *testing.T) {
	shard := ids.ShardOf("s")
	epoch := epochWith(t, map[string][]rpc.Target{"s": {{Instance: "a", Address: "A"}, {Instance: "b", Address: "B"}}})
	previous, err := previousTargets(epoch, shard)
	if err != nil {
		t.Fatal(err)
	}
	provisional := &rpc.ShardTargets{Provisional: true, Targets: targetLists{"s": {{Instance: "a", Address: "A", Since: 3}, {Instance: "b", Address: "N", Since: 3}, {Instance: "c", Address: "A", Since: 4}}}}
	normalizeAges(provisional, 10, previous)
	if list := provisional.Targets["s"]; list[0].Since != seenInPreviousTerm || list[1].Since != 7 || list[2].Since != 6 || len(previous) != 2 {
		t.Fatalf("%+v %v", provisional, previous)
	}
	normalizeAges(&rpc.ShardTargets{Targets: targetLists{"s": {{Instance: "a", Address: "A"}}}}, 10, previous)
	if len(previous) != 1 || !previous[targetKey{"s", "a", "A"}] {
		t.Fatal(previous)
	}
}

func TestPreviousTargets_ExcludesOtherShards(t *testing.T) {
	epoch := epochWith(t, map[string][]rpc.Target{"s": {{Instance: "a", Address: "A"}}})
	other, err := previousTargets(epoch, (ids.ShardOf("s")+1)%ids.ShardCount)
	if err != nil || len(other) != 0 {
		t.Fatal(other, err)
	}
}
