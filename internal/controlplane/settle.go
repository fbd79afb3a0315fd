// Making the target lists of an epoch out of the parts' news. While a part's
// owner is young, the targets of the epoch in force stay in, but for those that
// the news names as out and those whose address was passed on.
package controlplane

import (
	"math"
	"sort"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// seenInPreviousTerm is the first beat of whatever was in the epoch in force when the part
// changed its owner: older than all that the new owner heard for the first time.
const seenInPreviousTerm = math.MinInt64

type addressConflict struct{ address, first, second string }

// mergePreviousTargets adds to a young list the targets held that it doesn't name at all.
func mergePreviousTargets(held []rpc.Target, list []rpc.ReportedTarget) []rpc.ReportedTarget {
	named := map[string]bool{}
	for _, t := range list {
		named[t.Instance] = true
	}
	merged := append([]rpc.ReportedTarget(nil), list...)
	for _, t := range held {
		if !named[t.Instance] {
			merged = append(merged, rpc.ReportedTarget{Instance: t.Instance, Address: t.Address, Zone: t.Zone, Weight: t.Weight, Slots: t.Slots, SlowStartMillis: t.SlowStartMillis, Since: seenInPreviousTerm})
		}
	}
	return merged
}

// resolveTargets gives each address to one instance, and lists for every service of
// which there is news the targets that are in. The newest claim stands and older
// ones go out in the same epoch; an address that another service holds in the
// epoch in force comes in only once that epoch is past; it tells whether one waits so.
func resolveTargets(epoch *EpochState, services []rpc.Service, all map[ids.Shard]*shardReport) (map[string][]rpc.Target, []addressConflict, bool) {
	lists := map[string][]rpc.ReportedTarget{}
	owners, newest := map[string]string{}, map[string]int64{}
	holders := map[string]string{}
	var clashes []addressConflict
	for _, s := range services {
		n := all[ids.ShardOf(s.Name)]
		if n == nil {
			continue
		}
		list := n.Targets[s.Name]
		if n.Provisional {
			list = mergePreviousTargets(epoch.Targets(s.Name), list)
		}
		lists[s.Name] = list
		for _, t := range list {
			if t.Address == "" || t.OutReason == StateTimedOut || t.OutReason == StateLeaving {
				continue
			}
			id := s.Name + "/" + t.Instance
			if other, ok := owners[t.Address]; ok {
				clashes = append(clashes, addressConflict{t.Address, min(other, id), max(other, id)})
				if newest[t.Address] > t.Since || newest[t.Address] == t.Since && other > id {
					continue
				}
			}
			owners[t.Address], newest[t.Address], holders[t.Address] = id, t.Since, s.Name
		}
	}
	isAwaited := false
	for name := range epoch.Groups {
		service, ok := strings.CutPrefix(name, TargetsPrefix)
		if !ok {
			continue
		}
		for _, t := range epoch.Targets(service) {
			if now, ok := holders[t.Address]; ok && now != service {
				owners[t.Address], isAwaited = "", true
			}
		}
	}
	targets := map[string][]rpc.Target{}
	for service, list := range lists {
		targets[service] = []rpc.Target{}
		for _, t := range list {
			if t.OutReason == "" && t.Address != "" && owners[t.Address] == service+"/"+t.Instance {
				targets[service] = append(targets[service], rpc.Target{Instance: t.Instance, Address: t.Address, Zone: t.Zone, Weight: t.Weight, Slots: t.Slots, SlowStartMillis: t.SlowStartMillis})
			}
		}
		sort.Slice(targets[service], func(i, j int) bool { return targets[service][i].Instance < targets[service][j].Instance })
	}
	return targets, clashes, isAwaited
}

// previousTargets names the targets of a part that are in an epoch.
func previousTargets(epoch *EpochState, shard ids.Shard) map[string]bool {
	names := map[string]bool{}
	for name := range epoch.Groups {
		if service, ok := strings.CutPrefix(name, TargetsPrefix); ok && ids.ShardOf(service) == shard {
			for _, t := range epoch.Targets(service) {
				names[targetKey(service, t.Instance, t.Address)] = true
			}
		}
	}
	return names
}

func targetKey(service, instance, address string) string {
	return service + "/" + instance + " " + address
}

// normalizeAges turns the ages of first beats into times since the planner's zero, and
// forgets the elders that a settled owner doesn't know.
func normalizeAges(p *rpc.ShardTargets, sent int64, known map[string]bool) {
	named := map[string]bool{}
	for service, list := range p.Targets {
		for i, t := range list {
			name := targetKey(service, t.Instance, t.Address)
			named[name] = true
			list[i].Since = sent - t.Since
			if known[name] {
				list[i].Since = seenInPreviousTerm
			}
		}
	}
	for name := range known {
		if !p.Provisional && !named[name] {
			delete(known, name)
		}
	}
}
