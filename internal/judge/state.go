// Checkers of what is kept: change sets, budgets, coordination, recovery.
package judge

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
	for _, r := range of(all, Ran) {
		services[r.Service] = append(services[r.Service], event{r.At, seen[r.Call]})
		seen[r.Call] = true
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

// locks: two holders at once, or a fencing stamp that does not grow.
func locks(all []Record, fail func(time.Duration, string, ...any)) {
	type span struct {
		holder      string
		fence       uint64
		begin, over time.Duration
	}
	spans := map[string][]*span{}
	for _, r := range of(all, Bonded) {
		if r.Outcome != "done" {
			if r.Op == "release" {
				for _, s := range spans[r.Name] {
					if s.fence == r.Fence && r.Start < s.over {
						s.over = r.Start
					}
				}
			}
			continue
		}
		list := spans[r.Name]
		var mine *span
		for _, s := range list {
			if s.fence == r.Fence && s.holder == r.Holder {
				mine = s
			}
		}
		switch r.Op {
		case "acquire", "renew":
			if mine == nil {
				mine = &span{holder: r.Holder, fence: r.Fence, begin: r.At}
				spans[r.Name] = append(list, mine)
			}
			mine.over = max(mine.over, r.Start+r.Ttl)
		case "release":
			if mine != nil && r.Start < mine.over {
				mine.over = r.Start
			}
		}
	}
	for name, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].begin < list[j].begin })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if b.begin < a.over {
				fail(b.begin, "lock %s: %s holds it until %s, %s has it at %s", name, a.holder, a.over, b.holder, b.begin)
			}
			if b.fence <= a.fence {
				fail(b.begin, "lock %s: fence %d after %d", name, b.fence, a.fence)
			}
		}
	}
}

// counters: a count is given twice, or goes backward.
func counters(all []Record, fail func(time.Duration, string, ...any)) {
	names := map[string][]Record{}
	for _, r := range of(all, Bonded) {
		if r.Op == "add" && r.Outcome == "done" {
			names[r.Name] = append(names[r.Name], r)
		}
	}
	for name, list := range names {
		given := map[int64]bool{}
		sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
		for i, r := range list {
			if given[r.Count] {
				fail(r.At, "counter %s gave %d twice", name, r.Count)
			}
			given[r.Count] = true
			for _, earlier := range list[:i] {
				if earlier.At < r.Start && earlier.Count >= r.Count {
					fail(r.At, "counter %s gave %d after %d", name, r.Count, earlier.Count)
					break
				}
			}
		}
	}
}

// staleRead: a read is older than a write acknowledged before it began.
func staleRead(all []Record, fail func(time.Duration, string, ...any)) {
	writes := map[string][]Record{}
	for _, r := range of(all, Bonded) {
		if r.Op == "put" && r.Outcome == "done" {
			writes[r.Name] = append(writes[r.Name], r)
		}
	}
	for _, r := range of(all, Bonded) {
		if r.Op != "get" || r.Outcome != "done" {
			continue
		}
		for _, w := range writes[r.Name] {
			if w.At < r.Start && w.Stamp > r.Stamp {
				fail(r.At, "key %s was read at stamp %d, stamp %d was acknowledged at %s", r.Name, r.Stamp, w.Stamp, w.At)
				break
			}
		}
	}
}

// watchGap: a watch passes over an event younger than twenty seconds.
func watchGap(all []Record, fail func(time.Duration, string, ...any)) {
	writes := map[string][]Record{}
	for _, r := range of(all, Bonded) {
		if r.Op == "put" && r.Outcome == "done" {
			writes[r.Name] = append(writes[r.Name], r)
		}
	}
	for _, r := range of(all, Watched) {
		got := map[uint64]bool{}
		for _, stamp := range r.Stamps {
			got[stamp] = true
		}
		for _, w := range writes[r.Name] {
			if w.Stamp > r.From && w.Stamp <= r.Stamp && !got[w.Stamp] {
				fail(r.At, "watch of %s from %d to %d lacks %d", r.Name, r.From, r.Stamp, w.Stamp)
			}
		}
		if r.Outcome == "too old" {
			for _, w := range writes[r.Name] {
				if w.Stamp > r.From && r.Start-w.At < 20*time.Second {
					fail(r.At, "watch of %s from %d was told too old; stamp %d is young", r.Name, r.From, w.Stamp)
					break
				}
			}
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
