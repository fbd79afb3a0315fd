package controlplane

import (
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// addressConflict is two instances, as "service/instance", that claim one address.
type addressConflict struct{ address, first, second string }

// addressClaim is an instance's claim to an address.
type addressClaim struct {
	service  string
	instance string // as "service/instance"; empty if nobody may have the address yet
	since    int64  // when the instance was first seen; the newest claim wins
}

// winsOver tells whether a claim wins over another one to the same address. Of two equally
// new ones the greater name does, so that every planner decides the same.
func (c addressClaim) winsOver(other addressClaim) bool {
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
	lists, err := reportedTargets(epoch, services, reports)
	if err != nil {
		return resolution{}, err
	}
	claims, conflicts := claimAddresses(services, lists)
	awaitsRelease, err := withholdHeldAddresses(epoch, claims)
	if err != nil {
		return resolution{}, err
	}
	targets := make(map[string][]rpc.Target, len(lists))
	for service, list := range lists {
		targets[service] = inRotation(service, list, claims)
	}
	return resolution{targets: targets, conflicts: conflicts, awaitsRelease: awaitsRelease}, nil
}

// reportedTargets is the list of each service of which there is a report.
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

// claimAddresses finds the winning claim to each address. A target that drains still claims
// its own; one that left or timed out does not.
func claimAddresses(services []rpc.Service, lists targetLists) (claims map[string]addressClaim, conflicts []addressConflict) {
	claims = map[string]addressClaim{}
	for _, service := range services {
		for _, target := range lists[service.Name] {
			if target.Address == "" || target.OutReason == StateTimedOut || target.OutReason == StateLeaving {
				continue
			}
			claim := addressClaim{service.Name, service.Name + "/" + target.Instance, target.Since}
			if holder, ok := claims[target.Address]; ok {
				conflicts = append(conflicts, addressConflict{target.Address, min(holder.instance, claim.instance), max(holder.instance, claim.instance)})
				if !claim.winsOver(holder) {
					continue
				}
			}
			claims[target.Address] = claim
		}
	}
	return claims, conflicts
}

// withholdHeldAddresses takes from the claims those to addresses that another service holds
// in the epoch in force. It tells whether there are any.
func withholdHeldAddresses(epoch *EpochState, claims map[string]addressClaim) (withheld bool, err error) {
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

// inRotation is the targets of a service that may be sent to, in order.
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
