package controlplane

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// targetLists is the targets of one shard, by service, as they are reported.
type targetLists map[string][]rpc.ReportedTarget

// reportedLists is what the last report on a shard said, and its digest.
type reportedLists struct {
	lists  targetLists
	digest string
}

// Report is the target lists of all shards led here, each with an age, in microseconds,
// which proves that everything known at that time is in the list. Lists whose digest the
// planner already knows are left out.
//
// A new leader has to listen for heartbeats for a while before its list is complete. Until
// then it reports nothing, or, with the setting plan.keep, says that its lists are provisional.
func (r *TargetRegistry) Report(ctx context.Context, request *rpc.TargetReportRequest) *rpc.TargetReportResponse {
	began := r.env.Now()
	response := &rpc.TargetReportResponse{}
	for i := range r.shards {
		shard := ids.Shard(i)
		replica := r.consensus.Replica(shard)
		term, since, isServing := replica.LeadershipSince()
		provisional := r.env.Since(since) < r.env.Config.ControlplaneTakeoverDelay
		if !isServing || provisional && !r.env.Config.ControlplaneKeepTargetsOnTakeover || replica.ConfirmLeadership(ctx, began) != nil {
			continue
		}
		lists := r.listTargets(shard, term, provisional)
		report := rpc.ShardTargets{Shard: shard, Term: term, Digest: r.reportDigest(shard, lists), Provisional: provisional, Age: r.env.Since(began).Microseconds() + 1}
		if request.Known[shard] != report.Digest {
			report.Targets = lists
		}
		response.Shards = append(response.Shards, report)
	}
	return response
}

// listTargets lists the targets of a shard, forgets those that departed, and writes the
// events of targets that came into or went out of rotation. A provisional list also names
// those that are known to have departed and were not heard from yet.
func (r *TargetRegistry) listTargets(shard ids.Shard, term ids.Term, provisional bool) targetLists {
	unheard := r.departures(shard)
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.shards[shard].forTerm(term).services
	lists := targetLists{}
	for service, instances := range services {
		for instance, target := range instances {
			name := service + "/" + instance
			departure, hasDeparture := unheard[name]
			delete(unheard, name)
			sinceLastSeen := r.env.Since(target.lastSeen)
			outState := ""
			switch {
			case hasDeparture:
				outState = departure.Holder
			case target.heartbeat.State != StateServing:
				outState = target.heartbeat.State
			case sinceLastSeen >= r.env.Config.ControlplaneHeartbeatTimeout:
				outState = StateTimedOut
			}
			r.logRotation(service, instance, target, outState)
			if sinceLastSeen > departedRetention {
				if hasDeparture {
					r.forgetDeparture(shard, service, instance, departure.Sequence)
				}
				delete(instances, instance)
				continue
			}
			lists[service] = append(lists[service], r.listed(instance, target, outState))
		}
		if len(instances) == 0 {
			delete(services, service)
		}
	}
	if provisional {
		for name, departure := range unheard {
			service, instance, _ := strings.Cut(name, "/")
			lists[service] = append(lists[service], rpc.ReportedTarget{Instance: instance, OutReason: departure.Holder})
		}
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b rpc.ReportedTarget) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return lists
}

// departures is the committed departures of a shard's targets, by service and instance.
func (r *TargetRegistry) departures(shard ids.Shard) map[string]rpc.CoordinationRecord {
	records, _ := r.stores[shard].List(coordination.KindInstanceState, "")
	departures := make(map[string]rpc.CoordinationRecord, len(records))
	for _, record := range records {
		departures[record.Name] = record
	}
	return departures
}

// forgetDeparture commits, beside the caller, that a departure is of no use any more. If that
// fails the record stays, which does no harm, until the target is heard from anew.
func (r *TargetRegistry) forgetDeparture(shard ids.Shard, service, instance string, sequence uint64) {
	r.env.Go(func() {
		limited, end := context.WithTimeout(r.env, time.Second)
		defer end()
		r.consensus.Replica(shard).Propose(limited, clearDeparture(service, instance, sequence))
	})
}

// logRotation writes an event if the target came into rotation or went out of it.
func (r *TargetRegistry) logRotation(service, instance string, target *targetRecord, outState string) {
	inRotation := outState == ""
	if inRotation == target.inRotation {
		return
	}
	target.inRotation = inRotation
	event := eventlog.TargetOut
	if inRotation {
		event = eventlog.TargetIn
	}
	r.env.Events.Emit(event, "service", service, "instance", instance, "address", target.heartbeat.Address, "reason", outState)
}

// listed is a target as it is reported.
func (r *TargetRegistry) listed(instance string, target *targetRecord, outState string) rpc.ReportedTarget {
	last := &target.heartbeat
	return rpc.ReportedTarget{Instance: instance, Address: last.Address, Zone: last.Zone, Weight: last.Weight, Slots: last.Slots,
		SlowStartMillis: target.warmUp, Since: r.env.Since(target.firstSeen).Microseconds(), OutReason: outState}
}

// reportDigest is the digest of a shard's lists. It is computed anew only when they say
// something else than the last time.
func (r *TargetRegistry) reportDigest(shard ids.Shard, lists targetLists) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := &r.shards[shard].lastReport
	if last.lists == nil || !equalLists(last.lists, lists) {
		*last = reportedLists{lists, digestLists(lists)}
	}
	return last.digest
}

// equalLists compares lists but for the ages, which change all the time.
func equalLists(one, two targetLists) bool {
	return maps.EqualFunc(one, two, func(a, b []rpc.ReportedTarget) bool {
		return slices.EqualFunc(a, b, func(x, y rpc.ReportedTarget) bool {
			x.Since, y.Since = 0, 0
			return x == y
		})
	})
}

// digestLists is a digest of lists but for the ages.
func digestLists(lists targetLists) string {
	ageless := make(targetLists, len(lists))
	for service, list := range lists {
		list = slices.Clone(list)
		for i := range list {
			list[i].Since = 0
		}
		ageless[service] = list
	}
	return Digest(mustMarshal(ageless))
}
