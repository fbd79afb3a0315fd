package controlplane

import (
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestResolveTargets_KeepsReplacesAndRemovesTargets(t *testing.T) {
	target := func(instance, address string) rpc.Target {
		return rpc.Target{Instance: instance, Address: address, Weight: 1, Slots: 4, SlowStartMillis: 7}
	}
	reported := func(instance, address string, since int64, outReason string) rpc.ReportedTarget {
		return rpc.ReportedTarget{Instance: instance, Address: address, Weight: 1, Slots: 4, SlowStartMillis: 7, Since: since, OutReason: outReason}
	}
	currentTargets := []rpc.Target{target("a", "A"), target("b", "B")}
	for name, c := range map[string]struct {
		provisional bool
		list        []rpc.ReportedTarget
		want        []rpc.Target
	}{
		"provisional: without heartbeat, kept":                        {true, []rpc.ReportedTarget{reported("a", "A", 5, "")}, currentTargets},
		"provisional: no heartbeats, all kept":                        {true, nil, currentTargets},
		"without heartbeat, removed":                                  {false, []rpc.ReportedTarget{reported("a", "A", 5, "")}, currentTargets[:1]},
		"provisional: new target added":                               {true, []rpc.ReportedTarget{reported("c", "C", 5, "")}, []rpc.Target{currentTargets[0], currentTargets[1], target("c", "C")}},
		"provisional: draining target removed":                        {true, []rpc.ReportedTarget{reported("b", "B", 5, StateDraining)}, currentTargets[:1]},
		"provisional: departed and without heartbeat, removed":        {true, []rpc.ReportedTarget{{Instance: "b", OutReason: StateLeaving}}, currentTargets[:1]},
		"provisional: timed-out target removed":                       {true, []rpc.ReportedTarget{reported("b", "B", 5, StateTimedOut)}, currentTargets[:1]},
		"provisional: address claimed by a new instance":              {true, []rpc.ReportedTarget{reported("c", "B", 5, "")}, []rpc.Target{currentTargets[0], target("c", "B")}},
		"provisional: instance moved to another address":              {true, []rpc.ReportedTarget{reported("b", "D", 5, "")}, []rpc.Target{currentTargets[0], target("b", "D")}},
		"newest of two claims wins":                                   {false, []rpc.ReportedTarget{reported("a", "A", 5, ""), reported("c", "A", 6, "")}, []rpc.Target{target("c", "A")}},
		"provisional: target of the previous term loses to a new one": {true, []rpc.ReportedTarget{reported("b", "B", seenInPreviousTerm, ""), reported("c", "B", -3, "")}, []rpc.Target{currentTargets[0], target("c", "B")}},
		"provisional: two departures without address":                 {true, []rpc.ReportedTarget{{Instance: "x", OutReason: StateDraining}, {Instance: "y", OutReason: StateDraining}}, currentTargets},
		"provisional: target without address is ignored":              {true, []rpc.ReportedTarget{{Instance: "x"}}, currentTargets},
	} {
		t.Run(name, func(t *testing.T) {
			reports := map[ids.Shard]*shardReport{ids.ShardOf("s"): {ShardTargets: rpc.ShardTargets{Provisional: c.provisional, Targets: targetLists{"s": c.list}}}}
			resolved, err := resolveTargets(epochWith(t, map[string][]rpc.Target{"s": currentTargets}), []rpc.Service{{Name: "s"}}, reports)
			if err != nil {
				t.Fatal(err)
			}
			if got := resolved.targets["s"]; !reflect.DeepEqual(got, c.want) {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

func TestResolveTargets_AddressMovesBetweenServicesInTwoEpochs(t *testing.T) {
	services := []rpc.Service{{Name: "s"}, {Name: "t"}}
	reports := map[ids.Shard]*shardReport{}
	for _, service := range services {
		reports[ids.ShardOf(service.Name)] = &shardReport{ShardTargets: rpc.ShardTargets{Provisional: true, Targets: targetLists{}}}
	}
	reports[ids.ShardOf("t")].Targets["t"] = []rpc.ReportedTarget{{Instance: "n", Address: "A", Since: 5}}
	reports[ids.ShardOf("t")].Targets["unknown"] = []rpc.ReportedTarget{{Instance: "o", Address: "A", Since: 9}}
	resolve := func(epoch *EpochState) resolution {
		t.Helper()
		resolved, err := resolveTargets(epoch, services, reports)
		if err != nil {
			t.Fatal(err)
		}
		return resolved
	}
	first := resolve(epochWith(t, map[string][]rpc.Target{"s": {{Instance: "a", Address: "A"}}, "t": {}}))
	if len(first.targets["s"])+len(first.targets["t"]) != 0 || !first.awaitsRelease {
		t.Fatalf("%+v", first)
	}
	second := resolve(epochWith(t, first.targets))
	if len(second.targets["s"]) != 0 || len(second.targets["t"]) != 1 || second.awaitsRelease {
		t.Fatalf("%+v", second)
	}
}
