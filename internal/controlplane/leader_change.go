package controlplane

import (
	"math"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// When a shard's leader changes, the new one hears every target for the first time, and for
// a while it has not heard all of them. Its lists are provisional until then: the targets of
// the epoch in force stay in, but for those that it names as out and those whose address
// was passed on.

// seenInPreviousTerm is the time at which a target was first seen that was in the epoch in
// force when its shard's leader changed: before all that the new leader heard for the first
// time.
const seenInPreviousTerm = math.MinInt64

// mergePreviousTargets adds to a provisional list the targets in force that it does not name
// at all.
func mergePreviousTargets(previous []rpc.Target, list []rpc.ReportedTarget) []rpc.ReportedTarget {
	named := map[string]bool{}
	for _, target := range list {
		named[target.Instance] = true
	}
	merged := append([]rpc.ReportedTarget(nil), list...)
	for _, target := range previous {
		if !named[target.Instance] {
			merged = append(merged, rpc.ReportedTarget{Instance: target.Instance, Address: target.Address, Zone: target.Zone, Weight: target.Weight, Slots: target.Slots, SlowStartMillis: target.SlowStartMillis, Since: seenInPreviousTerm})
		}
	}
	return merged
}

// targetKey is a target at an address: one that moved is another.
type targetKey struct{ service, instance, address string }

// previousTargets is the targets of a shard that are in an epoch; the error is a
// *DamagedGroupError.
func previousTargets(epoch *EpochState, shard ids.Shard) (map[targetKey]bool, error) {
	previous := map[targetKey]bool{}
	for service := range epoch.targetServices() {
		if ids.ShardOf(service) != shard {
			continue
		}
		targets, err := epoch.Targets(service)
		if err != nil {
			return nil, err
		}
		for _, target := range targets {
			previous[targetKey{service, target.Instance, target.Address}] = true
		}
	}
	return previous, nil
}

// normalizeAges turns the ages of targets in a report, in microseconds, into times at which
// they were first seen, in microseconds since the planner was made; received is when the
// report was asked for. Targets of the previous term get the earliest time of all. Once the
// lists are no longer provisional, those that they do not name are taken out of previous.
func normalizeAges(report *rpc.ShardTargets, received int64, previous map[targetKey]bool) {
	named := map[targetKey]bool{}
	for service, list := range report.Targets {
		for i, target := range list {
			key := targetKey{service, target.Instance, target.Address}
			named[key] = true
			list[i].Since = received - target.Since
			if previous[key] {
				list[i].Since = seenInPreviousTerm
			}
		}
	}
	if report.Provisional {
		return
	}
	for key := range previous {
		if !named[key] {
			delete(previous, key)
		}
	}
}
