package controlplane

import (
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// addressConflict is two instances, as "service/instance", that claim one address.
type addressConflict struct{ address, first, second string }

// claim is an instance's claim to an address.
type claim struct {
	service  string
	instance string // as "service/instance"
	since    int64  // when the instance was first seen; the newest claim wins
}

// beats tells whether a claim wins over another one to the same address. Of two equally
// new ones the greater name does, so that every planner decides the same.
func (c claim) beats(other claim) bool {
	return c.since > other.since || c.since == other.since && c.instance >= other.instance
}

// resolution is what resolveTargets decides.
type resolution struct {
	targets   map[string][]rpc.Target // for each service of which there is a report
	conflicts []addressConflict
	// awaitsRelease tells whether a target waits for the epoch after next, because
	// another service holds its address in the epoch in force.
	awaitsRelease bool
}

// resolveTargets gives each address to one instance, and lists, for every service of which
// there is a report, the targets that are in rotation. The newest claim to an address wins
// and the older ones go out in the same epoch. An address that another service holds in the
// epoch in force comes in only once that epoch is past, for a proxy may still send that
// service's requests to it. The error is a *DamagedGroupError.
func resolveTargets(epoch *EpochState, services []rpc.Service, reports map[ids.Shard]*shardReport) (resolution, error) {
	lists := targetLists{}
	winners := map[string]claim{} // by address
	var resolved resolution
	for _, service := range services {
		report := reports[ids.ShardOf(service.Name)]
		if report == nil {
			continue
		}
		list := report.Targets[service.Name]
		if report.Provisional {
			previous, err := epoch.Targets(service.Name)
			if err != nil {
				return resolution{}, err
			}
			list = mergePreviousTargets(previous, list)
		}
		lists[service.Name] = list
		for _, target := range list {
			if target.Address == "" || target.OutReason == StateTimedOut || target.OutReason == StateLeaving {
				continue
			}
			claimant := claim{service.Name, service.Name + "/" + target.Instance, target.Since}
			if holder, ok := winners[target.Address]; ok {
				resolved.conflicts = append(resolved.conflicts, addressConflict{target.Address, min(holder.instance, claimant.instance), max(holder.instance, claimant.instance)})
				if !claimant.beats(holder) {
					continue
				}
			}
			winners[target.Address] = claimant
		}
	}
	for service := range epoch.targetServices() {
		targets, err := epoch.Targets(service)
		if err != nil {
			return resolution{}, err
		}
		for _, target := range targets {
			if winner, ok := winners[target.Address]; ok && winner.service != service {
				winner.instance, resolved.awaitsRelease = "", true
				winners[target.Address] = winner
			}
		}
	}
	resolved.targets = make(map[string][]rpc.Target, len(lists))
	for service, list := range lists {
		targets := []rpc.Target{}
		for _, target := range list {
			if target.OutReason == "" && target.Address != "" && winners[target.Address].instance == service+"/"+target.Instance {
				targets = append(targets, rpc.Target{Instance: target.Instance, Address: target.Address, Zone: target.Zone, Weight: target.Weight, Slots: target.Slots, SlowStartMillis: target.SlowStartMillis})
			}
		}
		slices.SortFunc(targets, func(a, b rpc.Target) int { return strings.Compare(a.Instance, b.Instance) })
		resolved.targets[service] = targets
	}
	return resolved, nil
}
