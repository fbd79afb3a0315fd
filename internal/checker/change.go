package checker

import (
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// conflictingChanges reports concurrent change sets that are both acknowledged, or that share an
// epoch; refused ones that are accepted later or in force at the end; and invalid ones that are
// accepted.
func conflictingChanges(records []Record, report reporter) {
	checkRaces(records, report)
	checkReversedOutcomes(records, report)
	refused := map[string]bool{}
	for _, r := range ofKind(records, ChangeSubmitted) {
		switch r.Outcome {
		case OutcomeRefused:
			refused[r.Name] = true
		case OutcomeAccepted:
			delete(refused, r.Name)
			if r.Invalid {
				report(r.At, "%s is invalid and was accepted", r.Name)
			}
		}
	}
	for _, r := range ofKind(records, FinalConfiguration) {
		for _, name := range r.Names {
			if refused[name] {
				report(r.At, "route %s of a refused change set is in force", name)
			}
		}
	}
}

// checkRaces reports each pair of accepted change sets that share an epoch, or of which the later
// one is based on an epoch before that of the earlier one and so does not include it.
func checkRaces(records []Record, report reporter) {
	var accepted []Record // the first acknowledgment of each
	addedNames := map[string]bool{}
	for _, r := range ofKind(records, ChangeSubmitted) {
		if r.Outcome == OutcomeAccepted && !addedNames[r.Name] {
			addedNames[r.Name] = true
			accepted = append(accepted, r)
		}
	}
	for i, a := range accepted {
		for _, b := range accepted[i+1:] {
			first, second := a, b
			if b.Epoch < a.Epoch {
				first, second = b, a
			}
			if first.Epoch == second.Epoch || second.BaseEpoch < first.Epoch {
				report(second.At, "%s (base %d, epoch %d) and %s (base %d, epoch %d) are both acknowledged", first.Name, first.BaseEpoch, first.Epoch, second.Name, second.BaseEpoch, second.Epoch)
			}
		}
	}
}

// checkReversedOutcomes reports each change set that a query finds accepted after it was refused
// or absent.
func checkReversedOutcomes(records []Record, report reporter) {
	outcomes := map[string]string{}
	for _, r := range records {
		isDefinite := r.Kind == ChangeQueried && (r.Outcome == OutcomeAccepted || r.Outcome == OutcomeAbsent) ||
			r.Kind == ChangeSubmitted && r.Outcome != OutcomeUnknown
		if !isDefinite {
			continue
		}
		outcome := r.Outcome
		if outcome == OutcomeAbsent {
			outcome = OutcomeRefused
		}
		if r.Kind == ChangeQueried && outcome == OutcomeAccepted && outcomes[r.Name] == OutcomeRefused {
			report(r.At, "%s was refused or absent and is now accepted", r.Name)
		}
		outcomes[r.Name] = outcome
	}
}

// changeAtomicity reports each executed request whose service is not a destination of its path
// under the change sets up to its epoch, and each "no route" response for a path that has a
// destination. This detects change sets that are partly in force, in force though refused, or lost.
func changeAtomicity(records []Record, report reporter) {
	routes := buildRouteTable(records, report)
	for _, r := range ofKind(records, RequestExecuted) {
		if r.Path == "" {
			continue
		}
		route := routes.lookup(r.Path, r.Epoch)
		if !strings.Contains(","+route.services+",", ","+r.Service+",") {
			report(r.At, "call %s to %s was routed to %s under epoch %d; its route leads to %q since change set %s", r.CallID, r.Path, r.Service, r.Epoch, route.services, route.change)
		}
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Code != errcode.NoRoute.Number || r.Epoch == 0 {
			continue
		}
		if route := routes.lookup(r.Path, r.Epoch); route.services != "" {
			report(r.At, "call %s to %s found no route under epoch %d; its route leads to %q since change set %s", r.CallID, r.Path, r.Epoch, route.services, route.change)
		}
	}
}

// routeTable holds the destinations of each path by epoch.
type routeTable struct {
	byPath       map[string][]routeChange
	replacements []uint64 // epochs in which the whole configuration was replaced
}

type routeChange struct {
	epoch    uint64
	services string // comma-separated; empty if the path was removed
	change   string // name of the change set
}

// buildRouteTable replays the accepted change sets and reports those that are in two epochs.
func buildRouteTable(records []Record, report reporter) *routeTable {
	epochs := map[string]uint64{}
	for _, r := range records {
		if (r.Kind == ChangeSubmitted || r.Kind == ChangeQueried) && r.Outcome == OutcomeAccepted {
			if other, ok := epochs[r.Name]; ok && other != r.Epoch {
				report(r.At, "%s was accepted in epoch %d and in epoch %d", r.Name, other, r.Epoch)
			}
			epochs[r.Name] = r.Epoch
		}
	}
	table := &routeTable{byPath: map[string][]routeChange{}}
	replayed := map[string]bool{}
	for _, r := range ofKind(records, ChangeSubmitted) {
		epoch, ok := epochs[r.Name]
		if !ok || replayed[r.Name] {
			continue
		}
		replayed[r.Name] = true
		if r.ReplacesAll {
			table.replacements = append(table.replacements, epoch)
		}
		for path, services := range r.Destinations {
			table.byPath[path] = append(table.byPath[path], routeChange{epoch, services, r.Name})
		}
	}
	return table
}

// lookup returns the latest change, up to the given epoch, of the longest prefix of the path that
// has a destination in that epoch.
func (t *routeTable) lookup(path string, epoch uint64) (latest routeChange) {
	for path = strings.TrimSuffix(path, "/"); path != ""; path = path[:strings.LastIndexByte(path, '/')] {
		latest = routeChange{}
		for _, change := range t.byPath[path] {
			if change.epoch <= epoch && change.epoch > latest.epoch {
				latest = change
			}
		}
		for _, replacedAt := range t.replacements {
			if replacedAt <= epoch && replacedAt > latest.epoch {
				latest = routeChange{}
				break
			}
		}
		if latest.services != "" {
			return latest
		}
	}
	return latest
}

// lostChange reports acknowledged change sets that the last query for them finds absent.
func lostChange(records []Record, report reporter) {
	lastQuery := map[string]Record{}
	for _, r := range ofKind(records, ChangeQueried) {
		lastQuery[r.Name] = r
	}
	for _, r := range ofKind(records, ChangeSubmitted) {
		if r.Outcome != OutcomeAccepted {
			continue
		}
		if query, ok := lastQuery[r.Name]; ok && query.Start > r.At && query.Outcome == OutcomeAbsent {
			report(query.At, "%s was acknowledged in epoch %d and is absent", r.Name, r.Epoch)
		}
	}
}
