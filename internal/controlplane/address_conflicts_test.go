package controlplane

import (
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestResolveTargets_KeepsReplacesAndDropsTargets(t *testing.T) {
	held := func(instance, address string) rpc.Target {
		return rpc.Target{Instance: instance, Address: address, Weight: 1, Slots: 4, SlowStartMillis: 7}
	}
	reported := func(instance, address string, since int64, out string) rpc.ReportedTarget {
		return rpc.ReportedTarget{Instance: instance, Address: address, Weight: 1, Slots: 4, SlowStartMillis: 7, Since: since, OutReason: out}
	}
	inForce := []rpc.Target{held("a", "A"), held("b", "B")}
	for name, c := range map[string]struct {
		provisional bool
		list        []rpc.ReportedTarget
		want        []rpc.Target
	}{
		"provisional: not heard from, kept":                           {true, []rpc.ReportedTarget{reported("a", "A", 5, "")}, inForce},
		"provisional: nobody heard from, all kept":                    {true, nil, inForce},
		"not heard from, removed":                                     {false, []rpc.ReportedTarget{reported("a", "A", 5, "")}, inForce[:1]},
		"provisional: new one added":                                  {true, []rpc.ReportedTarget{reported("c", "C", 5, "")}, []rpc.Target{inForce[0], inForce[1], held("c", "C")}},
		"provisional: draining one removed":                           {true, []rpc.ReportedTarget{reported("b", "B", 5, StateDraining)}, inForce[:1]},
		"provisional: departed and not heard from, removed":           {true, []rpc.ReportedTarget{{Instance: "b", OutReason: StateLeaving}}, inForce[:1]},
		"provisional: timed-out one removed":                          {true, []rpc.ReportedTarget{reported("b", "B", 5, StateTimedOut)}, inForce[:1]},
		"provisional: address passed on":                              {true, []rpc.ReportedTarget{reported("c", "B", 5, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"provisional: instance moved":                                 {true, []rpc.ReportedTarget{reported("b", "D", 5, "")}, []rpc.Target{inForce[0], held("b", "D")}},
		"newest of two claims wins":                                   {false, []rpc.ReportedTarget{reported("a", "A", 5, ""), reported("c", "A", 6, "")}, []rpc.Target{held("c", "A")}},
		"provisional: target of the previous term loses to a new one": {true, []rpc.ReportedTarget{reported("b", "B", seenInPreviousTerm, ""), reported("c", "B", -3, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"provisional: two departed without address":                   {true, []rpc.ReportedTarget{{Instance: "x", OutReason: StateDraining}, {Instance: "y", OutReason: StateDraining}}, inForce},
		"provisional: no address, not a target":                       {true, []rpc.ReportedTarget{{Instance: "x"}}, inForce},
	} {
		t.Run(name, func(t *testing.T) {
			reports := map[ids.Shard]*shardReport{ids.ShardOf("s"): {ShardTargets: rpc.ShardTargets{Provisional: c.provisional, Targets: targetLists{"s": c.list}}}}
			resolved, err := resolveTargets(epochWith(t, map[string][]rpc.Target{"s": inForce}), []rpc.Service{{Name: "s"}}, reports)
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
