package controlplane

import (
	"math"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A new leader of a shard has no heartbeats yet, and its target lists are incomplete for a
// while. Until then they are provisional: targets of the current epoch stay in rotation,
// except those that the new leader reports as out and those whose address another target
// claims.

// seenInPreviousTerm is the first-seen time of a target that was in the current epoch when its
// shard's leader changed. It is earlier than that of any target new to the new leader.
const seenInPreviousTerm = math.MinInt64

// mergePreviousTargets returns a provisional list with the targets of the current epoch added
// that it does not contain.
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

// targetKey identifies a target at an address. A target that moves gets another key.
type targetKey struct{ service, instance, address string }

// previousTargets returns the targets of a shard in an epoch. The error is a
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

// normalizeAges replaces Since of each target in a report, which is an age in microseconds, by
// the time when the target was first seen. This time and requestedAt, the time of the request
// for the report, are in microseconds since the planner's startedAt. Targets in previous get
// seenInPreviousTerm. If the report is not provisional, targets that it does not contain are
// removed from previous.
func normalizeAges(report *rpc.ShardTargets, requestedAt int64, previous map[targetKey]bool) {
	named := map[targetKey]bool{}
	for service, list := range report.Targets {
		for i, target := range list {
			key := targetKey{service, target.Instance, target.Address}
			named[key] = true
			list[i].Since = requestedAt - target.Since
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
