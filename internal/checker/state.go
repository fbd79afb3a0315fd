// Checkers of what is kept: change sets, budgets, coordination, recovery.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// conflictingChanges: two change sets against one base are both acknowledged, an
// epoch bears two of them, or a refused one is in force.
func conflictingChanges(all []Record, fail func(time.Duration, string, ...any)) {
	accepted := map[string]Record{}
	var list []Record
	for _, r := range ofKind(all, ChangeSubmitted) {
		if r.Outcome == "accepted" {
			if _, ok := accepted[r.Name]; !ok {
				list = append(list, r)
			}
			accepted[r.Name] = r
		}
	}
	for i, a := range list {
		for _, b := range list[i+1:] {
			first, second := a, b
			if b.Epoch < a.Epoch {
				first, second = b, a
			}
			if first.Epoch == second.Epoch || second.BaseEpoch < first.Epoch {
				fail(second.At, "%s (base %d, epoch %d) and %s (base %d, epoch %d) are both acknowledged", first.Name, first.BaseEpoch, first.Epoch, second.Name, second.BaseEpoch, second.Epoch)
			}
		}
	}
	verdicts := map[string]string{}
	for _, r := range all {
		if r.Kind == ChangeQueried && (r.Outcome == "accepted" || r.Outcome == "absent") || r.Kind == ChangeSubmitted && r.Outcome != "unknown" {
			said := r.Outcome
			if said == "absent" {
				said = "refused"
			}
			if old, ok := verdicts[r.Name]; ok && old == "refused" && said == "accepted" && r.Kind == ChangeQueried {
				fail(r.At, "%s was refused or absent, and is accepted", r.Name)
			}
			verdicts[r.Name] = said
		}
	}
	refused := map[string]bool{}
	for _, r := range ofKind(all, ChangeSubmitted) {
		if r.Outcome == "refused" {
			refused[r.Name] = true
		}
		if r.Outcome == "accepted" {
			delete(refused, r.Name)
		}
	}
	for _, r := range ofKind(all, ChangeSubmitted) {
		if r.Invalid && r.Outcome == "accepted" {
			fail(r.At, "%s is invalid and was accepted", r.Name)
		}
	}
	for _, r := range ofKind(all, FinalConfiguration) {
		for _, name := range r.Names {
			if refused[name] {
				fail(r.At, "mapping %s of a refused change set is in force", name)
			}
		}
	}
}

// changeAtomicity: every request runs where the change sets up to its epoch lead its
// path, and nowhere else, and "no mapping" is said only of a path that is in none
// of them. So a half set, a refused one or a lost one shows at the moment at which
// it is in force.
func changeAtomicity(all []Record, fail func(time.Duration, string, ...any)) {
	type step struct {
		epoch uint64
		to    string
		name  string
	}
	steps, wholes := map[string][]step{}, []uint64{}
	epochs := map[string]uint64{}
	for _, r := range all {
		if (r.Kind == ChangeSubmitted || r.Kind == ChangeQueried) && r.Outcome == "accepted" {
			if old, ok := epochs[r.Name]; ok && old != r.Epoch {
				fail(r.At, "%s was accepted in epoch %d and in epoch %d", r.Name, old, r.Epoch)
			}
			epochs[r.Name] = r.Epoch
		}
	}
	isDone := map[string]bool{}
	for _, r := range ofKind(all, ChangeSubmitted) {
		epoch, ok := epochs[r.Name]
		if !ok || isDone[r.Name] {
			continue
		}
		isDone[r.Name] = true
		if r.ReplacesAll {
			wholes = append(wholes, epoch)
		}
		for path, to := range r.Destinations {
			steps[path] = append(steps[path], step{epoch, to, r.Name})
		}
	}
	lead := func(path string, epoch uint64) (last step) {
		for path = strings.TrimSuffix(path, "/"); path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			last = step{}
			for _, s := range steps[path] {
				if s.epoch <= epoch && s.epoch > last.epoch {
					last = s
				}
			}
			for _, whole := range wholes {
				if whole <= epoch && whole > last.epoch {
					last = step{}
					break
				}
			}
			if last.to != "" {
				return last
			}
		}
		return last
	}
	for _, r := range ofKind(all, RequestExecuted) {
		if r.Path == "" {
			continue
		}
		is := lead(r.Path, r.Epoch)
		if !strings.Contains(","+is.to+",", ","+r.Service+",") {
			fail(r.At, "call %s to %s ran as one for %s under epoch %d; it leads to %q since %s", r.CallID, r.Path, r.Service, r.Epoch, is.to, is.name)
		}
	}
	for _, r := range ofKind(all, RequestCompleted) {
		if r.Code != 1001 || r.Epoch == 0 {
			continue
		}
		if is := lead(r.Path, r.Epoch); is.to != "" {
			fail(r.At, "call %s to %s found no mapping under epoch %d; it leads to %q since %s", r.CallID, r.Path, r.Epoch, is.to, is.name)
		}
	}
}

// lostChange: an acknowledged change set is gone at the end.
func lostChange(all []Record, fail func(time.Duration, string, ...any)) {
	last := map[string]Record{}
	for _, r := range ofKind(all, ChangeQueried) {
		last[r.Name] = r
	}
	for _, r := range ofKind(all, ChangeSubmitted) {
		if r.Outcome != "accepted" {
			continue
		}
		if asked, ok := last[r.Name]; ok && asked.Start > r.At && asked.Outcome == "absent" {
			fail(asked.At, "%s was acknowledged in epoch %d and is absent", r.Name, r.Epoch)
		}
	}
}

// retryBudget: tries beyond callers' first requests exceed a fifth of the
// traffic plus some sixty in any ten seconds.
func retryBudget(all []Record, fail func(time.Duration, string, ...any)) {
	type event struct {
		at      time.Duration
		isExtra bool
	}
	services := map[string][]event{}
	seen := map[string]bool{}
	for _, r := range all {
		if r.Kind != RequestExecuted && r.Kind != RequestRejected {
			continue
		}
		of := r.CallID
		if r.PerAttempt {
			of = r.RequestID
		}
		services[r.Service] = append(services[r.Service], event{r.At, seen[of]})
		seen[of] = true
	}
	const window = 10 * time.Second
	for service, list := range services {
		sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
		from, extra := 0, 0
		var worst, excess = Violation{}, 0.0
		for i, e := range list {
			if e.isExtra {
				extra++
			}
			for list[from].at <= e.at-window {
				if list[from].isExtra {
					extra--
				}
				from++
			}
			traffic := i + 1 - from - extra
			if over := float64(extra) - float64(traffic)*0.2 - 66; over > excess {
				excess = over
				worst = Violation{At: e.at, Text: fmt.Sprintf("%s saw %d extra tries beside %d requests in ten seconds", service, extra, traffic)}
			}
		}
		if excess > 0 {
			fail(worst.At, "%s", worst.Text)
		}
	}
}

// droppedRequests: where nothing fails but planned stops, no request may be lost.
func droppedRequests(all []Record, fail func(time.Duration, string, ...any)) {
	if len(ofKind(all, PlannedStopsOnly)) == 0 {
		return
	}
	runs := map[string]bool{}
	for _, r := range ofKind(all, RequestExecuted) {
		runs[r.CallID] = true
	}
	for _, r := range ofKind(all, RequestCompleted) {
		if r.Outcome == "unknown" || r.Outcome == "broken" && runs[r.CallID] {
			fail(r.At, "call %s was handed over and dropped: %s %s", r.CallID, r.Outcome, r.Note)
		}
	}
}

// recoveryTime: unusable for longer than about fifteen seconds after a return.
func recoveryTime(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range ofKind(all, Recovery) {
		if r.Outcome != "usable" || r.At-r.Start > recoveryBound {
			fail(r.At, "machines were back at %s, usable: %q at %s", r.Start, r.Outcome, r.At)
		}
	}
}

// numberedRefusals: a request given up on has its numbered answer, with Retry-After
// where coming back helps.
func numberedRefusals(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range ofKind(all, RequestCompleted) {
		if r.Outcome == "not run" && (r.Code == 0 || r.Status >= 500 && r.RetryAfter == "") {
			fail(r.At, "call %s was refused with code %d and Retry-After %q", r.CallID, r.Code, r.RetryAfter)
		}
	}
}

// replicaAgreement: a node found that copies of a part contradict one another.
func replicaAgreement(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range ofKind(all, ReplicaDivergence) {
		fail(r.At, "%s", r.Note)
	}
}
