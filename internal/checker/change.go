package checker

import (
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// conflictingChanges: two change sets against one base are both acknowledged, or bear one
// epoch; a refused one is accepted later or in force at the end; an invalid one is accepted.
func conflictingChanges(records []Record, report reporter) {
	checkRaces(records, report)
	checkVerdicts(records, report)
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

// checkRaces reports each pair of accepted change sets of which neither knew the other.
func checkRaces(records []Record, report reporter) {
	var accepted []Record // the first acknowledgment of each
	seen := map[string]bool{}
	for _, r := range ofKind(records, ChangeSubmitted) {
		if r.Outcome == OutcomeAccepted && !seen[r.Name] {
			seen[r.Name] = true
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

// checkVerdicts reports each change set that a query finds accepted after it was refused or
// absent.
func checkVerdicts(records []Record, report reporter) {
	verdicts := map[string]string{}
	for _, r := range records {
		isVerdict := r.Kind == ChangeQueried && (r.Outcome == OutcomeAccepted || r.Outcome == OutcomeAbsent) ||
			r.Kind == ChangeSubmitted && r.Outcome != OutcomeUnknown
		if !isVerdict {
			continue
		}
		verdict := r.Outcome
		if verdict == OutcomeAbsent {
			verdict = OutcomeRefused
		}
		if r.Kind == ChangeQueried && verdict == OutcomeAccepted && verdicts[r.Name] == OutcomeRefused {
			report(r.At, "%s was refused or absent, and is accepted", r.Name)
		}
		verdicts[r.Name] = verdict
	}
}

// changeAtomicity: a request is served where the change sets up to its epoch do not lead its
// path, or "no route" is said of a path that is in one of them. So a change set that is in
// force in part, or was refused or lost, shows at the moment at which that matters.
func changeAtomicity(records []Record, report reporter) {
	routes := routesOf(records, report)
	for _, r := range ofKind(records, RequestExecuted) {
		if r.Path == "" {
			continue
		}
		route := routes.lookup(r.Path, r.Epoch)
		if !strings.Contains(","+route.services+",", ","+r.Service+",") {
			report(r.At, "call %s to %s ran as one for %s under epoch %d; it leads to %q since %s", r.CallID, r.Path, r.Service, r.Epoch, route.services, route.change)
		}
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Code != errcode.NoRoute.Number || r.Epoch == 0 {
			continue
		}
		if route := routes.lookup(r.Path, r.Epoch); route.services != "" {
			report(r.At, "call %s to %s found no route under epoch %d; it leads to %q since %s", r.CallID, r.Path, r.Epoch, route.services, route.change)
		}
	}
}

// routeTable is where paths led in each epoch.
type routeTable struct {
	byPath       map[string][]routeChange
	replacements []uint64 // epochs in which the configuration was replaced completely
}

type routeChange struct {
	epoch    uint64
	services string // with commas between them; empty if the path was dropped
	change   string // name of the change set
}

// routesOf replays the accepted change sets, and reports those that are in two epochs.
func routesOf(records []Record, report reporter) *routeTable {
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

// lookup returns the last change, up to an epoch, of the longest prefix of a path that leads
// anywhere then.
func (t *routeTable) lookup(path string, epoch uint64) (last routeChange) {
	for path = strings.TrimSuffix(path, "/"); path != ""; path = path[:strings.LastIndexByte(path, '/')] {
		last = routeChange{}
		for _, change := range t.byPath[path] {
			if change.epoch <= epoch && change.epoch > last.epoch {
				last = change
			}
		}
		for _, replaced := range t.replacements {
			if replaced <= epoch && replaced > last.epoch {
				last = routeChange{}
				break
			}
		}
		if last.services != "" {
			return last
		}
	}
	return last
}

// lostChange: an acknowledged change set is absent at the end.
func lostChange(records []Record, report reporter) {
	last := map[string]Record{}
	for _, r := range ofKind(records, ChangeQueried) {
		last[r.Name] = r
	}
	for _, r := range ofKind(records, ChangeSubmitted) {
		if r.Outcome != OutcomeAccepted {
			continue
		}
		if query, ok := last[r.Name]; ok && query.Start > r.At && query.Outcome == OutcomeAbsent {
			report(query.At, "%s was acknowledged in epoch %d and is absent", r.Name, r.Epoch)
		}
	}
}
