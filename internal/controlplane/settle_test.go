// A young owner's news is merged with the epoch in force, and addresses go to
// the newest claim.
package controlplane

import (
	"encoding/json"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func sheetWith(targets map[string][]rpc.Target) *EpochState {
	sheet := &EpochState{Epoch: 1, Groups: map[string]rpc.Group{}}
	for service, list := range targets {
		raw, _ := json.Marshal(list)
		sheet.Groups[TargetsPrefix+service] = rpc.Group{Data: raw}
	}
	return sheet
}

func TestListsAreSettled(t *testing.T) {
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
		"unheard is kept":              {true, []rpc.ReportedTarget{heard("a", "A", 5, "")}, inForce},
		"nobody is heard":              {true, nil, inForce},
		"unheard goes when settled":    {false, []rpc.ReportedTarget{heard("a", "A", 5, "")}, inForce[:1]},
		"new comes in":                 {true, []rpc.ReportedTarget{heard("c", "C", 5, "")}, []rpc.Target{inForce[0], inForce[1], held("c", "C")}},
		"drained goes":                 {true, []rpc.ReportedTarget{heard("b", "B", 5, StateDraining)}, inForce[:1]},
		"marked and unheard goes":      {true, []rpc.ReportedTarget{{Instance: "b", OutReason: StateLeaving}}, inForce[:1]},
		"silent goes":                  {true, []rpc.ReportedTarget{heard("b", "B", 5, StateTimedOut)}, inForce[:1]},
		"address is passed on":         {true, []rpc.ReportedTarget{heard("c", "B", 5, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"heard at another address":     {true, []rpc.ReportedTarget{heard("b", "D", 5, "")}, []rpc.Target{inForce[0], held("b", "D")}},
		"newest of two":                {false, []rpc.ReportedTarget{heard("a", "A", 5, ""), heard("c", "A", 6, "")}, []rpc.Target{held("c", "A")}},
		"an elder against a new":       {true, []rpc.ReportedTarget{heard("b", "B", seenInPreviousTerm, ""), heard("c", "B", -3, "")}, []rpc.Target{inForce[0], held("c", "B")}},
		"two marked without address":   {true, []rpc.ReportedTarget{{Instance: "x", OutReason: StateDraining}, {Instance: "y", OutReason: StateDraining}}, inForce},
		"no address is never a target": {true, []rpc.ReportedTarget{{Instance: "x"}}, inForce},
	} {
		sheet := sheetWith(map[string][]rpc.Target{"s": inForce})
		all := map[ids.Shard]*shardReport{ids.ShardOf("s"): {ShardTargets: rpc.ShardTargets{Provisional: c.young, Targets: map[string][]rpc.ReportedTarget{"s": c.list}}}}
		got, _, _ := resolveTargets(sheet, []rpc.Service{{Name: "s"}}, all)
		if !reflect.DeepEqual(got["s"], c.want) {
			t.Errorf("%s: %+v, want %+v", name, got["s"], c.want)
		}
	}
}

func TestAnAddressChangesServiceInTwoEpochs(t *testing.T) {
	services := []rpc.Service{{Name: "s"}, {Name: "t"}}
	all := map[ids.Shard]*shardReport{}
	for _, s := range services {
		all[ids.ShardOf(s.Name)] = &shardReport{ShardTargets: rpc.ShardTargets{Provisional: true, Targets: map[string][]rpc.ReportedTarget{}}}
	}
	all[ids.ShardOf("t")].Targets["t"] = []rpc.ReportedTarget{{Instance: "n", Address: "A", Since: 5}}
	all[ids.ShardOf("t")].Targets["stranger"] = []rpc.ReportedTarget{{Instance: "o", Address: "A", Since: 9}}
	sheet := sheetWith(map[string][]rpc.Target{"s": {{Instance: "a", Address: "A"}}, "t": {}})
	one, _, _ := resolveTargets(sheet, services, all)
	if len(one["s"])+len(one["t"]) != 0 {
		t.Fatalf("%+v", one)
	}
	two, _, _ := resolveTargets(sheetWith(one), services, all)
	if len(two["s"]) != 0 || len(two["t"]) != 1 {
		t.Fatalf("%+v", two)
	}
}

func TestEldersStayOldUntilTheyGo(t *testing.T) {
	no := ids.ShardOf("s")
	sheet := sheetWith(map[string][]rpc.Target{"s": {{Instance: "a", Address: "A"}, {Instance: "b", Address: "B"}}})
	known := previousTargets(sheet, no)
	p := &rpc.ShardTargets{Provisional: true, Targets: map[string][]rpc.ReportedTarget{"s": {{Instance: "a", Address: "A", Since: 3}, {Instance: "b", Address: "N", Since: 3}, {Instance: "c", Address: "A", Since: 4}}}}
	normalizeAges(p, 10, known)
	if l := p.Targets["s"]; l[0].Since != seenInPreviousTerm || l[1].Since != 7 || l[2].Since != 6 || len(known) != 2 {
		t.Fatalf("%+v %v", p, known)
	}
	normalizeAges(&rpc.ShardTargets{Targets: map[string][]rpc.ReportedTarget{"s": {{Instance: "a", Address: "A"}}}}, 10, known)
	if len(known) != 1 || !known[targetKey("s", "a", "A")] {
		t.Fatal(known)
	}
	if len(previousTargets(sheet, (no+1)%ids.ShardCount)) != 0 {
		t.Fatal("another part's")
	}
}

// newRoll is a roll without a fleet.
func newRoll(t *testing.T) *TargetRegistry {
	p := &config.Props{Name: "n", PlanSilence: time.Hour}
	r := environment.New(t.Context(), p, eventlog.New(io.Discard, "info", "n"), environment.Host{})
	var books []*coordination.Store
	for range ids.ShardCount {
		books = append(books, coordination.NewStore())
	}
	return NewTargetRegistry(r, nil, books, NewConfigState())
}

func (r *TargetRegistry) addTarget(no ids.Shard, cold int64, b rpc.TargetHeartbeat) {
	if r.targets[no] == nil {
		r.targets[no] = map[string]map[string]*targetRecord{}
	}
	if r.targets[no][b.Service] == nil {
		r.targets[no][b.Service] = map[string]*targetRecord{}
	}
	r.targets[no][b.Service][b.Instance] = &targetRecord{heartbeat: b, warmUp: cold, firstSeen: r.env.Now(), lastSeen: r.env.Now()}
}

func putMark(t *testing.T, book *coordination.Store, name, holder string) {
	t.Helper()
	raw, _ := json.Marshal(rpc.CoordinationRequest{Operation: "mark", Name: name, Holder: holder, Sequence: 1})
	book.Apply(1, raw)
}

func TestListsNameSlotsFirstColdAndMarks(t *testing.T) {
	l, no, term := newRoll(t), ids.ShardOf("s"), ids.Term{Number: 1}
	l.targetLists(no, term, true)
	l.addTarget(no, 900, rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", State: StateServing, Slots: 3, SlowStartMillis: 900})
	putMark(t, l.stores[no], "s/gone", StateLeaving)
	young := l.targetLists(no, term, true)["s"]
	if len(young) != 2 || young[0].Slots != 3 || young[0].SlowStartMillis != 900 || young[1].Instance != "gone" || young[1].OutReason != StateLeaving || young[1].Address != "" {
		t.Fatalf("%+v", young)
	}
	one := l.reportDigest(no, l.targetLists(no, term, false))
	h := l.targets[no]["s"]["a"]
	h.heartbeat.SlowStartMillis, h.firstSeen = 100, h.firstSeen.Add(-time.Minute)
	lists := l.targetLists(no, term, false)
	if two := l.reportDigest(no, lists); one != two || one != digestLists(lists) {
		t.Fatal("the digest changed with time")
	}
	if len(lists["s"]) != 1 {
		t.Fatalf("%+v", lists)
	}
	h.heartbeat.Slots = 4
	if lists = l.targetLists(no, term, false); l.reportDigest(no, lists) == one || l.reportDigest(no, lists) != digestLists(lists) {
		t.Fatal("the digest stayed when slots changed")
	}
}

func TestWhoseIsAnInstance(t *testing.T) {
	l := newRoll(t)
	l.config.current = sheetWith(map[string][]rpc.Target{"s": {{Instance: "planned"}, {Instance: "both"}}})
	l.addTarget(ids.ShardOf("u"), 0, rpc.TargetHeartbeat{Service: "u", Instance: "both"})
	putMark(t, l.stores[ids.ShardOf("t")], "t/marked", StateDraining)
	for instance, want := range map[string]string{"planned": "s", "both": "u", "marked": "t", "none": "", "": ""} {
		if got := l.ServiceOf(instance); got != want {
			t.Errorf("%q is of %q, want %q", instance, got, want)
		}
	}
}

func TestStirredIsToldAndMayBeMissing(t *testing.T) {
	l := newRoll(t)
	l.notifyChange()
	heard := make(chan bool, 4)
	l.OnChange = func() { heard <- true }
	l.notifyChange()
	<-heard
	l.notifyChange()
	<-heard
}
