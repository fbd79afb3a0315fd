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

// targetLists holds the reported targets of one shard by service.
type targetLists map[string][]rpc.ReportedTarget

// reportedLists holds the target lists of the last report on a shard, and their digest.
type reportedLists struct {
	lists  targetLists
	digest string
}

// Report returns the target lists of all shards led here. Each has an age, in microseconds: the
// lists include everything known that long ago, and this node's leadership at that time is
// confirmed. Lists whose digest the planner already has are omitted.
//
// The lists of a new leader are incomplete until targets have sent it heartbeats. During
// controlplane.takeover_delay it reports nothing for the shard, or provisional lists if
// controlplane.keep_targets_on_takeover is set.
func (r *TargetRegistry) Report(ctx context.Context, request *rpc.TargetReportRequest) *rpc.TargetReportResponse {
	start := r.env.Now()
	response := &rpc.TargetReportResponse{}
	for i := range r.shards {
		shard := ids.Shard(i)
		replica := r.consensus.Replica(shard)
		term, since, isServing := replica.LeadershipSince()
		provisional := r.env.Since(since) < r.env.Config.ControlplaneTakeoverDelay
		if !isServing || provisional && !r.env.Config.ControlplaneKeepTargetsOnTakeover || replica.ConfirmLeadership(ctx, start) != nil {
			continue
		}
		lists := r.listTargets(shard, term, provisional)
		report := rpc.ShardTargets{Shard: shard, Term: term, Digest: r.reportDigest(shard, lists), Provisional: provisional, Age: r.env.Since(start).Microseconds() + 1}
		if request.Known[shard] != report.Digest {
			report.Targets = lists
		}
		response.Shards = append(response.Shards, report)
	}
	return response
}

// listTargets returns the targets of a shard by service, sorted by instance. It discards the
// targets without a heartbeat for departedRetention, and emits events for targets that entered
// or left rotation. Provisional lists include targets that have a recorded departure but have
// not sent a heartbeat in this term.
func (r *TargetRegistry) listTargets(shard ids.Shard, term ids.Term, provisional bool) targetLists {
	unlistedDepartures := r.departures(shard)
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.shards[shard].forTerm(term).services
	lists := targetLists{}
	for service, instances := range services {
		for instance, target := range instances {
			name := service + "/" + instance
			departure, hasDeparture := unlistedDepartures[name]
			delete(unlistedDepartures, name)
			sinceLastSeen := r.env.Since(target.lastSeen)
			outReason := ""
			switch {
			case hasDeparture:
				outReason = departure.Holder
			case target.heartbeat.State != StateServing:
				outReason = target.heartbeat.State
			case sinceLastSeen >= r.env.Config.ControlplaneHeartbeatTimeout:
				outReason = StateTimedOut
			}
			r.logRotation(service, instance, target, outReason)
			if sinceLastSeen > departedRetention {
				if hasDeparture {
					r.clearDeparture(shard, service, instance, departure.Sequence)
				}
				delete(instances, instance)
				continue
			}
			lists[service] = append(lists[service], r.reportedTarget(instance, target, outReason))
		}
		if len(instances) == 0 {
			delete(services, service)
		}
	}
	if provisional {
		for name, departure := range unlistedDepartures {
			service, instance, _ := strings.Cut(name, "/")
			lists[service] = append(lists[service], rpc.ReportedTarget{Instance: instance, OutReason: departure.Holder})
		}
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b rpc.ReportedTarget) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return lists
}

// departures returns the committed departures of a shard's targets by "service/instance".
func (r *TargetRegistry) departures(shard ids.Shard) map[string]rpc.CoordinationRecord {
	records, _ := r.stores[shard].List(coordination.KindInstanceState, "")
	departures := make(map[string]rpc.CoordinationRecord, len(records))
	for _, record := range records {
		departures[record.Name] = record
	}
	return departures
}

// clearDeparture removes the record of a departure in a new goroutine. If that fails, the
// record remains until the target sends heartbeats again, which is harmless.
func (r *TargetRegistry) clearDeparture(shard ids.Shard, service, instance string, sequence uint64) {
	r.env.Go(func() {
		ctx, cancel := context.WithTimeout(r.env, time.Second)
		defer cancel()
		r.consensus.Replica(shard).Propose(ctx, newClearDepartureEntry(service, instance, sequence))
	})
}

// logRotation emits an event if the target entered or left rotation.
func (r *TargetRegistry) logRotation(service, instance string, target *targetRecord, outReason string) {
	inRotation := outReason == ""
	if inRotation == target.inRotation {
		return
	}
	target.inRotation = inRotation
	event := eventlog.TargetOut
	if inRotation {
		event = eventlog.TargetIn
	}
	r.env.Events.Emit(event, "service", service, "instance", instance, "address", target.heartbeat.Address, "reason", outReason)
}

// reportedTarget returns the target as an entry of a report.
func (r *TargetRegistry) reportedTarget(instance string, target *targetRecord, outReason string) rpc.ReportedTarget {
	last := &target.heartbeat
	return rpc.ReportedTarget{Instance: instance, Address: last.Address, Zone: last.Zone, Weight: last.Weight, Slots: last.Slots,
		SlowStartMillis: target.slowStartMillis, Since: r.env.Since(target.firstSeen).Microseconds(), OutReason: outReason}
}

// reportDigest returns the digest of a shard's lists. It is recomputed only if the lists differ
// from those of the last report in more than ages.
func (r *TargetRegistry) reportDigest(shard ids.Shard, lists targetLists) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := &r.shards[shard].lastReport
	if last.lists == nil || !equalLists(last.lists, lists) {
		*last = reportedLists{lists, digestLists(lists)}
	}
	return last.digest
}

// equalLists reports whether two sets of lists are equal apart from the ages.
func equalLists(one, two targetLists) bool {
	return maps.EqualFunc(one, two, func(a, b []rpc.ReportedTarget) bool {
		return slices.EqualFunc(a, b, func(x, y rpc.ReportedTarget) bool {
			x.Since, y.Since = 0, 0
			return x == y
		})
	})
}

// digestLists returns a digest of the lists that excludes the ages.
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
