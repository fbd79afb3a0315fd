package controlplane

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestTargetRegistry_ReportsSlotsInitialSlowStartAndDepartures(t *testing.T) {
	r, shard, term := newRegistry(t, nil), ids.ShardOf("s"), ids.Term{Number: 1}
	r.listTargets(shard, term, true)
	target := r.addTarget(rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", State: StateServing, Slots: 3, SlowStartMillis: 900})
	addDeparture(t, r, "s", "gone", StateLeaving)
	provisional := r.listTargets(shard, term, true)["s"]
	if len(provisional) != 2 || provisional[0].Slots != 3 || provisional[0].SlowStartMillis != 900 || provisional[1].Instance != "gone" || provisional[1].OutReason != StateLeaving || provisional[1].Address != "" {
		t.Fatalf("%+v", provisional)
	}
	first := r.reportDigest(shard, r.listTargets(shard, term, false))
	target.heartbeat.SlowStartMillis, target.firstSeen = 100, target.firstSeen.Add(-time.Minute)
	lists := r.listTargets(shard, term, false)
	if second := r.reportDigest(shard, lists); first != second || first != digestLists(lists) {
		t.Fatal("the digest changed with time")
	}
	if len(lists["s"]) != 1 {
		t.Fatalf("%+v", lists)
	}
	target.heartbeat.Slots = 4
	if lists = r.listTargets(shard, term, false); r.reportDigest(shard, lists) == first || r.reportDigest(shard, lists) != digestLists(lists) {
		t.Fatal("the digest did not change with the slots")
	}
}

func TestTargetRegistry_NewTermForgetsTargets(t *testing.T) {
	r, shard := newRegistry(t, nil), ids.ShardOf("s")
	r.addTarget(rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", State: StateServing})
	if lists := r.listTargets(shard, ids.Term{}, false); len(lists["s"]) != 1 {
		t.Fatalf("%+v", lists)
	}
	if lists := r.listTargets(shard, ids.Term{Number: 1}, false); len(lists) != 0 {
		t.Fatalf("%+v", lists)
	}
}

func TestTargetRegistry_OutdatedHeartbeats(t *testing.T) {
	for name, c := range map[string]struct {
		seq                                 uint64
		state                               string
		precedesDeparture                   bool
		outdated, changed, isStored, isSeen bool
	}{
		"newer, unchanged":              {6, StateServing, false, false, false, true, true},
		"newer, draining":               {6, StateDraining, false, false, true, true, true},
		"older, serving":                {4, StateServing, false, true, false, false, false},
		"older, draining":               {4, StateDraining, false, true, false, false, true},
		"before its departure, serving": {6, StateServing, true, true, false, false, false},
		"before its departure, leaving": {6, StateLeaving, true, true, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, shard := newRegistry(t, nil), ids.ShardOf("s")
			target := r.addTarget(rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", State: StateServing, Sequence: 5})
			before := target.lastSeen.Add(-time.Second)
			target.lastSeen = before
			outdated, changed := r.record(shard, ids.Term{}, &rpc.TargetHeartbeat{Service: "s", Instance: "a", Address: "A", State: c.state, Sequence: c.seq}, c.precedesDeparture)
			if outdated != c.outdated || changed != c.changed {
				t.Errorf("outdated %v, changed %v", outdated, changed)
			}
			if isStored := target.heartbeat.Sequence == c.seq; isStored != c.isStored {
				t.Errorf("stored: %v", isStored)
			}
			if isSeen := target.lastSeen.After(before); isSeen != c.isSeen {
				t.Errorf("updates lastSeen: %v", isSeen)
			}
		})
	}
}

func TestTargetRegistry_ServiceOf(t *testing.T) {
	r := newRegistry(t, nil)
	r.state.current = epochWith(t, map[string][]rpc.Target{"s": {{Instance: "planned"}, {Instance: "both"}}})
	r.addTarget(rpc.TargetHeartbeat{Service: "u", Instance: "both"})
	addDeparture(t, r, "t", "departed", StateDraining)
	for instance, want := range map[string]string{"planned": "s", "both": "u", "departed": "t", "none": "", "": ""} {
		if got := r.ServiceOf(instance); got != want {
			t.Errorf("%q is of %q, want %q", instance, got, want)
		}
	}
}

func TestTargetRegistry_CallsOnChangeIfSet(t *testing.T) {
	newRegistry(t, nil).notifyChange()
	called := make(chan bool, 4)
	r := newRegistry(t, func() { called <- true })
	r.notifyChange()
	<-called
	r.notifyChange()
	<-called
}
