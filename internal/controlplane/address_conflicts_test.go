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
	heard := func(instance, address string, since int64, out string) rpc.ReportedTarget {
		return rpc.ReportedTarget{Instance: instance, Address: address, Weight: 1, Slots: 4, SlowStartMillis: 7, Since: since, OutReason: out}
	}
	inForce := []rpc.Target{held("a", "A"), held("b", "B")}
	for name, c := range map[string]struct {
		young bool
		list  []rpc.ReportedTarget
		want  []rpc.Target
	}{
		"young leader: not heard from, kept":                           {true, []rpc.ReportedTarget{heard("a", "A", 5, "")}, inForce},
		"young leader: nobody heard from, all kept":                    {true, nil, inForce},
		"not heard from, removed":                                      {false, []rpc.ReportedTarget{heard("a", "A", 5, "")}, inForce[:1]},
		"young leader: new one added":                                  {true, []rpc.ReportedTarget{heard("c", "C", 5, "")}, []rpc.Target{inForce[0], inForce[1], held("c", "C")}},
		"young leader: draining one removed":                           {true, []rpc.ReportedTarget{heard("b", "B", 5, StateDraining)}, inForce[:1]},
		"young leader: departed and not heard from, removed":           {true, []rpc.ReportedTarget{{Instance: "b", OutReason: StateLeaving}}, inForce[:1]},
		"young leader: timed-out one removed":                          {true, []rpc.ReportedTarget{heard("b", "B", 5, StateTimedOut)}, inForce[:1]},
		"young leader: address passed on":                              {true, []rpc.ReportedTarget{heard("c", "B", 5, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"young leader: instance moved":                                 {true, []rpc.ReportedTarget{heard("b", "D", 5, "")}, []rpc.Target{inForce[0], held("b", "D")}},
		"newest of two claims wins":                                    {false, []rpc.ReportedTarget{heard("a", "A", 5, ""), heard("c", "A", 6, "")}, []rpc.Target{held("c", "A")}},
		"young leader: target of the previous term loses to a new one": {true, []rpc.ReportedTarget{heard("b", "B", seenInPreviousTerm, ""), heard("c", "B", -3, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"young leader: two departed without address":                   {true, []rpc.ReportedTarget{{Instance: "x", OutReason: StateDraining}, {Instance: "y", OutReason: StateDraining}}, inForce},
		"young leader: no address, not a target":                       {true, []rpc.ReportedTarget{{Instance: "x"}}, inForce},
	} {
		t.Run(name, func(t *testing.T) {
			reports := map[ids.Shard]*shardReport{ids.ShardOf("s"): {ShardTargets: rpc.ShardTargets{Provisional: c.young, Targets: targetLists{"s": c.list}}}}
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
