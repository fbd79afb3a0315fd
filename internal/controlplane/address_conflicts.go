package controlplane

import (
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// addressConflict is a pair of instances, as "service/instance", that claim the same address.
type addressConflict struct{ address, first, second string }

// addressClaim is an instance's claim to an address.
type addressClaim struct {
	service  string
	instance string // as "service/instance"; empty if the address is not released yet
	since    int64  // when the instance was first seen; the newest claim wins
}

// winsOver reports whether a claim wins over another one to the same address. The newer claim
// wins, and of two equally new ones that with the greater name, so that all planners decide
// alike.
func (c addressClaim) winsOver(other addressClaim) bool {
	return c.since > other.since || c.since == other.since && c.instance >= other.instance
}

// resolution is the result of resolveTargets.
type resolution struct {
	targets   map[string][]rpc.Target // for each service with a report
	conflicts []addressConflict
	// awaitsRelease reports whether a target can be listed only in the epoch after the next
	// one, because another service uses its address in the current epoch.
	awaitsRelease bool
}

// resolveTargets assigns each address to one instance, and lists the targets in rotation for
// every service with a report. The newest claim to an address wins, and the older ones are
// removed in the same epoch. If another service uses the address in the current epoch, it is
// released in the next epoch and assigned in a later one, because a proxy may still send
// that service's requests to it. The error is a *DamagedGroupError.
func resolveTargets(epoch *EpochState, services []rpc.Service, reports map[ids.Shard]*shardReport) (resolution, error) {
	lists, err := reportedTargets(epoch, services, reports)
	if err != nil {
		return resolution{}, err
	}
	claims, conflicts := claimAddresses(services, lists)
	awaitsRelease, err := withholdAddressesInUse(epoch, claims)
	if err != nil {
		return resolution{}, err
	}
	targets := make(map[string][]rpc.Target, len(lists))
	for service, list := range lists {
		targets[service] = inRotation(service, list, claims)
	}
	return resolution{targets: targets, conflicts: conflicts, awaitsRelease: awaitsRelease}, nil
}

// reportedTargets returns the list of each service with a report. A provisional list is merged
// with that of the current epoch. The error is a *DamagedGroupError.
func reportedTargets(epoch *EpochState, services []rpc.Service, reports map[ids.Shard]*shardReport) (targetLists, error) {
	lists := targetLists{}
	for _, service := range services {
		report := reports[ids.ShardOf(service.Name)]
		if report == nil {
			continue
		}
		list := report.Targets[service.Name]
		if report.Provisional {
			previous, err := epoch.Targets(service.Name)
			if err != nil {
				return nil, err
			}
			list = mergePreviousTargets(previous, list)
		}
		lists[service.Name] = list
	}
	return lists, nil
}

// claimAddresses returns the winning claim to each address, and all conflicts. A draining
// target still claims its address; one that left or timed out does not.
func claimAddresses(services []rpc.Service, lists targetLists) (claims map[string]addressClaim, conflicts []addressConflict) {
	claims = map[string]addressClaim{}
	for _, service := range services {
		for _, target := range lists[service.Name] {
			if target.Address == "" || target.OutReason == StateTimedOut || target.OutReason == StateLeaving {
				continue
			}
			claim := addressClaim{service.Name, service.Name + "/" + target.Instance, target.Since}
			if winner, ok := claims[target.Address]; ok {
				conflicts = append(conflicts, addressConflict{target.Address, min(winner.instance, claim.instance), max(winner.instance, claim.instance)})
				if !claim.winsOver(winner) {
					continue
				}
			}
			claims[target.Address] = claim
		}
	}
	return claims, conflicts
}

// withholdAddressesInUse clears the instance of each claim to an address that another service
// uses in the current epoch, and reports whether there is any. The error is a
// *DamagedGroupError.
func withholdAddressesInUse(epoch *EpochState, claims map[string]addressClaim) (withheld bool, err error) {
	for service := range epoch.targetServices() {
		targets, err := epoch.Targets(service)
		if err != nil {
			return false, err
		}
		for _, target := range targets {
			if claim, ok := claims[target.Address]; ok && claim.service != service {
				claim.instance, withheld = "", true
				claims[target.Address] = claim
			}
		}
	}
	return withheld, nil
}

// inRotation returns the targets of a service that may receive requests, sorted by instance.
func inRotation(service string, list []rpc.ReportedTarget, claims map[string]addressClaim) []rpc.Target {
	targets := []rpc.Target{}
	for _, target := range list {
		if target.OutReason == "" && target.Address != "" && claims[target.Address].instance == service+"/"+target.Instance {
			targets = append(targets, rpc.Target{Instance: target.Instance, Address: target.Address, Zone: target.Zone, Weight: target.Weight, Slots: target.Slots, SlowStartMillis: target.SlowStartMillis})
		}
	}
	slices.SortFunc(targets, func(a, b rpc.Target) int { return strings.Compare(a.Instance, b.Instance) })
	return targets
}
