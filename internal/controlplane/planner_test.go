package controlplane

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPlannerView_MergesOnlyNewerReports(t *testing.T) {
	const shard = ids.Shard(3)
	now := time.Now()
	lists := targetLists{"s": {{Instance: "a", Address: "A"}}}
	last := rpc.ShardTargets{Shard: shard, Term: ids.Term{Number: 5}, Digest: "d", Targets: lists}
	for name, c := range map[string]struct {
		update    rpc.ShardTargets
		age       time.Duration // relative to the last report; below zero is newer
		isMerged  bool
		converged bool
	}{
		"same lists, later":                 {rpc.ShardTargets{Term: ids.Term{Number: 5}, Digest: "d"}, -time.Second, true, true},
		"same lists, earlier":               {rpc.ShardTargets{Term: ids.Term{Number: 5}, Digest: "d"}, time.Second, false, true},
		"other lists, later":                {rpc.ShardTargets{Term: ids.Term{Number: 5}, Digest: "e", Targets: targetLists{}}, -time.Second, true, false},
		"other digest without lists, later": {rpc.ShardTargets{Term: ids.Term{Number: 5}, Digest: "e"}, -time.Second, false, true},
		"older term":                        {rpc.ShardTargets{Term: ids.Term{Number: 4}, Digest: "e", Targets: targetLists{}}, -time.Second, false, true},
		"newer term, earlier":               {rpc.ShardTargets{Term: ids.Term{Number: 6}, Digest: "e", Targets: targetLists{}}, time.Second, true, false},
		"newer term, provisional":           {rpc.ShardTargets{Term: ids.Term{Number: 6}, Digest: "d", Provisional: true}, -time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			epoch := epochWith(t, nil)
			view := newPlannerView(ids.Term{})
			if err := view.merge(&last, now, 0, epoch); err != nil {
				t.Fatal(err)
			}
			view.converged = epoch
			c.update.Shard = shard
			asOf := now.Add(-c.age)
			if err := view.merge(&c.update, asOf, 0, epoch); err != nil {
				t.Fatal(err)
			}
			report := view.reports[shard]
			if isMerged := report.asOf.Equal(asOf); isMerged != c.isMerged {
				t.Errorf("merged: %v", isMerged)
			}
			if c.update.Digest == "d" && len(report.Targets["s"]) != 1 {
				t.Errorf("the lists were lost: %+v", report)
			}
			if converged := view.converged != nil; converged != c.converged {
				t.Errorf("still converged: %v", converged)
			}
		})
	}
}

func TestPlannerView_RejectsProvisionalReportOnDamagedEpoch(t *testing.T) {
	shard := ids.ShardOf("s")
	view := newPlannerView(ids.Term{})
	err := view.merge(&rpc.ShardTargets{Shard: shard, Provisional: true, Targets: targetLists{}}, time.Now(), 0, damagedEpoch(TargetsPrefix+"s"))
	var damage *DamagedGroupError
	if !errors.As(err, &damage) || view.reports[shard] != nil {
		t.Errorf("%v, %+v", err, view.reports[shard])
	}
}

// newPlanner returns the planner of a node that leads no shard.
func newPlanner(t *testing.T) *Planner {
	t.Helper()
	return &Planner{env: newEnvironment(t), state: NewConfigState(), view: newPlannerView(ids.Term{}), loggedConflicts: map[addressConflict]bool{}}
}

func TestPlanner_DesiredGroups(t *testing.T) {
	p := newPlanner(t)
	currentTargets := []rpc.Target{{Instance: "a", Address: "A", Weight: 1}}
	epoch := epochWith(t, map[string][]rpc.Target{"known": currentTargets, "unknown": currentTargets, "dropped": currentTargets})
	services := mustMarshal([]rpc.Service{{Name: "known"}, {Name: "unknown"}, {Name: "new"}})
	epoch.Groups[ServicesGroup] = rpc.Group{Digest: Digest(services), Data: services}
	if shards := map[ids.Shard]bool{ids.ShardOf("known"): true, ids.ShardOf("unknown"): true, ids.ShardOf("new"): true}; len(shards) != 3 {
		t.Fatal("the services share a shard; use other names")
	}
	p.view.reports[ids.ShardOf("known")] = &shardReport{ShardTargets: rpc.ShardTargets{Targets: targetLists{"known": {{Instance: "b", Address: "B", Weight: 1}}}}}
	desired, err := p.desiredGroups(epoch, nil, json.RawMessage(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		ServicesGroup:             string(services),
		SharesGroup:               `{}`,
		TargetsPrefix + "known":   string(mustMarshal([]rpc.Target{{Instance: "b", Address: "B", Weight: 1}})),
		TargetsPrefix + "unknown": string(mustMarshal(currentTargets)),
		TargetsPrefix + "new":     `[]`,
		TargetsPrefix + "dropped": ``,
	} {
		if got := string(desired[name]); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	planned := &rpc.EpochEntry{Put: map[string]json.RawMessage{}}
	diffGroups(planned, epoch, desired)
	if len(planned.Put) != 3 || len(planned.Remove) != 1 || planned.Remove[0] != TargetsPrefix+"dropped" {
		t.Errorf("%+v", planned)
	}
}

func TestPlanner_LogsEachConflictOnce(t *testing.T) {
	p := newPlanner(t)
	one, two := addressConflict{"A", "s/a", "s/b"}, addressConflict{"B", "s/a", "s/b"}
	p.logConflicts([]addressConflict{one, two, one})
	p.logConflicts([]addressConflict{two})
	if got := p.env.Events.Counts()[eventlog.AddressConflict.Name]; got != 2 {
		t.Errorf("%d events, want 2", got)
	}
}
