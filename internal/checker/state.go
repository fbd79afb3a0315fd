// Checkers of what is kept: change sets, budgets, coordination, recovery.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// racingChanges: two change sets against one base are both acknowledged, an
// epoch bears two of them, or a refused one is in force.
func racingChanges(all []Record, fail func(time.Duration, string, ...any)) {
	accepted := map[string]Record{}
	var list []Record
	for _, r := range of(all, Changed) {
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
			if first.Epoch == second.Epoch || second.Base < first.Epoch {
				fail(second.At, "%s (base %d, epoch %d) and %s (base %d, epoch %d) are both acknowledged", first.Name, first.Base, first.Epoch, second.Name, second.Base, second.Epoch)
			}
		}
	}
	verdicts := map[string]string{}
	for _, r := range all {
		if r.Kind == Asked && (r.Outcome == "accepted" || r.Outcome == "absent") || r.Kind == Changed && r.Outcome != "unknown" {
			said := r.Outcome
			if said == "absent" {
				said = "refused"
			}
			if old, ok := verdicts[r.Name]; ok && old == "refused" && said == "accepted" && r.Kind == Asked {
				fail(r.At, "%s was refused or absent, and is accepted", r.Name)
			}
			verdicts[r.Name] = said
		}
	}
	refused := map[string]bool{}
	for _, r := range of(all, Changed) {
		if r.Outcome == "refused" {
			refused[r.Name] = true
		}
		if r.Outcome == "accepted" {
			delete(refused, r.Name)
		}
	}
	for _, r := range of(all, Changed) {
		if r.Invalid && r.Outcome == "accepted" {
			fail(r.At, "%s is invalid and was accepted", r.Name)
		}
	}
	for _, r := range of(all, InForce) {
		for _, name := range r.Names {
			if refused[name] {
				fail(r.At, "mapping %s of a refused change set is in force", name)
			}
		}
	}
}

// wholeSets: every request runs where the change sets up to its epoch lead its
// path, and nowhere else, and "no mapping" is said only of a path that is in none
// of them. So a half set, a refused one or a lost one shows at the moment at which
// it is in force.
func wholeSets(all []Record, fail func(time.Duration, string, ...any)) {
	type step struct {
		epoch uint64
		to    string
		name  string
	}
	steps, wholes := map[string][]step{}, []uint64{}
	epochs := map[string]uint64{}
	for _, r := range all {
		if (r.Kind == Changed || r.Kind == Asked) && r.Outcome == "accepted" {
			if old, ok := epochs[r.Name]; ok && old != r.Epoch {
				fail(r.At, "%s was accepted in epoch %d and in epoch %d", r.Name, old, r.Epoch)
			}
			epochs[r.Name] = r.Epoch
		}
	}
	isDone := map[string]bool{}
	for _, r := range of(all, Changed) {
		epoch, ok := epochs[r.Name]
		if !ok || isDone[r.Name] {
			continue
		}
		isDone[r.Name] = true
		if r.IsWhole {
			wholes = append(wholes, epoch)
		}
		for path, to := range r.Lead {
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
	for _, r := range of(all, Ran) {
		if r.Mapping == "" {
			continue
		}
		is := lead(r.Mapping, r.Epoch)
		if !strings.Contains(","+is.to+",", ","+r.Service+",") {
			fail(r.At, "call %s to %s ran as one for %s under epoch %d; it leads to %q since %s", r.Call, r.Mapping, r.Service, r.Epoch, is.to, is.name)
		}
	}
	for _, r := range of(all, Called) {
		if r.Code != 1001 || r.Epoch == 0 {
			continue
		}
		if is := lead(r.Mapping, r.Epoch); is.to != "" {
			fail(r.At, "call %s to %s found no mapping under epoch %d; it leads to %q since %s", r.Call, r.Mapping, r.Epoch, is.to, is.name)
		}
	}
}

// lostChange: an acknowledged change set is gone at the end.
func lostChange(all []Record, fail func(time.Duration, string, ...any)) {
	last := map[string]Record{}
	for _, r := range of(all, Asked) {
		last[r.Name] = r
	}
	for _, r := range of(all, Changed) {
		if r.Outcome != "accepted" {
			continue
		}
		if asked, ok := last[r.Name]; ok && asked.Start > r.At && asked.Outcome == "absent" {
			fail(asked.At, "%s was acknowledged in epoch %d and is absent", r.Name, r.Epoch)
		}
	}
}

// extraTries: tries beyond callers' first requests exceed a fifth of the
// traffic plus some sixty in any ten seconds.
func extraTries(all []Record, fail func(time.Duration, string, ...any)) {
	type event struct {
		at      time.Duration
		isExtra bool
	}
	services := map[string][]event{}
	seen := map[string]bool{}
	for _, r := range all {
		if r.Kind != Ran && r.Kind != Reached {
			continue
		}
		of := r.Call
		if r.IsTry {
			of = r.Request
		}
		services[r.Service] = append(services[r.Service], event{r.At, seen[of]})
		seen[of] = true
	}
	const window = 10 * time.Second
	for service, list := range services {
		sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
		from, extra := 0, 0
		var worst, excess = Breach{}, 0.0
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
				worst = Breach{At: e.at, Text: fmt.Sprintf("%s saw %d extra tries beside %d requests in ten seconds", service, extra, traffic)}
			}
		}
		if excess > 0 {
			fail(worst.At, "%s", worst.Text)
		}
	}
}

// dropped: where nothing fails but planned stops, no request may be lost.
func dropped(all []Record, fail func(time.Duration, string, ...any)) {
	if len(of(all, Harmless)) == 0 {
		return
	}
	runs := map[string]bool{}
	for _, r := range of(all, Ran) {
		runs[r.Call] = true
	}
	for _, r := range of(all, Called) {
		if r.Outcome == "unknown" || r.Outcome == "broken" && runs[r.Call] {
			fail(r.At, "call %s was handed over and dropped: %s %s", r.Call, r.Outcome, r.Note)
		}
	}
}

// tooLong: unusable for longer than about fifteen seconds after a return.
func tooLong(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range of(all, Rescue) {
		if r.Outcome != "usable" || r.At-r.Start > rescueBound {
			fail(r.At, "machines were back at %s, usable: %q at %s", r.Start, r.Outcome, r.At)
		}
	}
}

// answered: a request given up on has its numbered answer, with Retry-After
// where coming back helps.
func answered(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range of(all, Called) {
		if r.Outcome == "not run" && (r.Code == 0 || r.Status >= 500 && r.RetryAfter == "") {
			fail(r.At, "call %s was refused with code %d and Retry-After %q", r.Call, r.Code, r.RetryAfter)
		}
	}
}

// replicas: a node found that copies of a part contradict one another.
func replicas(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range of(all, Differ) {
		fail(r.At, "%s", r.Note)
	}
}
