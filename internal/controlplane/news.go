// The Roll's news: the target lists of the parts owned here. A new owner of a
// part keeps silent until it has listened for a while, or says that it is young.
package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Report is the lists of all parts owned here, each with an age that proves that
// everything known at that time is in the list.
func (r *TargetRegistry) Report(ctx context.Context, request *rpc.TargetReportRequest) *rpc.TargetReportResponse {
	began := r.env.Now()
	response := &rpc.TargetReportResponse{}
	for shard := range r.stores {
		replica := r.consensus.Replica(ids.Shard(shard))
		term, since, isServing := replica.LeadershipSince()
		warmingUp := r.env.Since(since) < r.env.Config.PlanSettle
		if !isServing || warmingUp && !r.env.Config.PlanKeep || replica.ConfirmLeadership(ctx, began) != nil {
			continue
		}
		lists := r.targetLists(ids.Shard(shard), term, warmingUp)
		digest := r.reportDigest(ids.Shard(shard), lists)
		news := rpc.ShardTargets{Shard: ids.Shard(shard), Term: term, Digest: digest, Provisional: warmingUp, Age: r.env.Since(began).Microseconds() + 1}
		if request.Known[ids.Shard(shard)] != digest {
			news.Targets = lists
		}
		response.Shards = append(response.Shards, news)
	}
	return response
}

// targetLists is what was heard of a part. A young owner also names those that are
// known to be out and weren't heard from yet.
func (r *TargetRegistry) targetLists(shard ids.Shard, term ids.Term, warmingUp bool) map[string][]rpc.ReportedTarget {
	marks, _ := r.stores[shard].List(coordination.KindInstanceState, "")
	marked := map[string]rpc.CoordinationRecord{}
	for _, m := range marks {
		marked[m.Name] = m
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetOnNewTerm(shard, term)
	lists := map[string][]rpc.ReportedTarget{}
	for service, instances := range r.targets[shard] {
		for instance, target := range instances {
			out := ""
			m, isMarked := marked[service+"/"+instance]
			delete(marked, service+"/"+instance)
			sinceLastSeen := r.env.Since(target.lastSeen)
			switch {
			case isMarked:
				out = m.Holder
			case target.heartbeat.State != StateServing:
				out = target.heartbeat.State
			case sinceLastSeen >= r.env.Config.PlanSilence:
				out = StateTimedOut
			}
			if isIn := out == ""; isIn != target.inRotation {
				target.inRotation = isIn
				event := eventlog.TargetOut
				if isIn {
					event = eventlog.TargetIn
				}
				r.env.Events.Say(event, "service", service, "instance", instance, "address", target.heartbeat.Address, "why", out)
			}
			if sinceLastSeen > departedRetention {
				if isMarked {
					r.env.Go(func() {
						limited, end := context.WithTimeout(r.env, time.Second)
						defer end()
						r.propose(limited, r.consensus.Replica(shard), &rpc.CoordinationRequest{Operation: "unmark", Name: service + "/" + instance, Sequence: m.Sequence})
					})
				}
				delete(instances, instance)
				continue
			}
			lists[service] = append(lists[service], rpc.ReportedTarget{Instance: instance, Address: target.heartbeat.Address, Zone: target.heartbeat.Zone, Weight: target.heartbeat.Weight, Slots: target.heartbeat.Slots, SlowStartMillis: target.warmUp, Since: r.env.Since(target.firstSeen).Microseconds(), OutReason: out})
		}
		if len(instances) == 0 {
			delete(r.targets[shard], service)
		}
	}
	for name, m := range marked {
		if service, instance, _ := strings.Cut(name, "/"); warmingUp {
			lists[service] = append(lists[service], rpc.ReportedTarget{Instance: instance, OutReason: m.Holder})
		}
	}
	for _, list := range lists {
		sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	}
	return lists
}

// reportDigest is made anew only when a list says something else than the last time.
func (r *TargetRegistry) reportDigest(shard ids.Shard, lists map[string][]rpc.ReportedTarget) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.lastReports[shard]
	if !ok || !equalLists(last.lists, lists) {
		last = reportedLists{lists, digestLists(lists)}
		r.lastReports[shard] = last
	}
	return last.digest
}

func equalLists(one, two map[string][]rpc.ReportedTarget) bool {
	return maps.EqualFunc(one, two, func(a, b []rpc.ReportedTarget) bool {
		return slices.EqualFunc(a, b, func(x, y rpc.ReportedTarget) bool {
			x.Since, y.Since = 0, 0
			return x == y
		})
	})
}

// digestLists leaves out the ages, which change all the time.
func digestLists(lists map[string][]rpc.ReportedTarget) string {
	bare := make(map[string][]rpc.ReportedTarget, len(lists))
	for service, list := range lists {
		list = append([]rpc.ReportedTarget(nil), list...)
		for i := range list {
			list[i].Since = 0
		}
		bare[service] = list
	}
	raw, _ := json.Marshal(bare)
	return Digest(raw)
}
